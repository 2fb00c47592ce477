"""A member's own steps that tie rules, files and desk together, each without the network."""

import tempfile
import threading
import unittest
from typing import Any
from unittest import mock

import gevent
import msgspec
from loguru import logger

from cedarwick.config.operator import Fleet, Member
from cedarwick.fleet import node as module
from cedarwick.fleet.adoption import Adoption, Stage
from cedarwick.fleet.book import Holding, Shared, boot_time
from cedarwick.fleet.facts import Base, Fact, Head, Known, Rank, decode_facts, encode_facts
from cedarwick.fleet.leases import SPAN, Grantor, right_of
from cedarwick.fleet.members import Standing
from cedarwick.fleet.messages import Ask, Beat, Body, Grant, Offer, Piece, Table, Taken, Told, digest_of
from cedarwick.fleet.messages import Held as Right
from cedarwick.fleet.node import Node
from cedarwick.fleet.shipping import EVERYTHING
from cedarwick.net.clock import Clock
from cedarwick.net.counters import Counters
from cedarwick.net.notices import Notices
from cedarwick.store.journal import NoRoom
from cedarwick.store.records import Kept
from tests.build import free_port

NAMES = ("a", "b", "c")
BOOK = 5 << 12
CLOCK = Clock()


def number(index: int) -> int:
    return (BOOK << 32) + index


def kept(index: int, life: int = 60_000_000) -> Kept:
    return Kept(number(index), f"id-{index}", "k", 0, "free", "", 0, CLOCK.now() + life, b"body")


def fact(index: int, life: int = 60_000_000) -> Fact:
    return Fact(number(index), Base(f"id-{index}", "k", 0, "free", "", 0, CLOCK.now() + life, b"body"), Known())


class AtAMember(unittest.TestCase):
    def setUp(self) -> None:
        logger.disable("cedarwick")
        self.addCleanup(logger.enable, "cedarwick")

    def member(self, ack: str = "copy", folder: str = "") -> Node:
        if not folder:
            made = tempfile.TemporaryDirectory()
            self.addCleanup(made.cleanup)
            folder = made.name
        store = Shared(folder, 1 << 20, now=CLOCK.now, by_copy=ack == "copy")
        store.load()
        self.addCleanup(store.close)
        told = Fleet(group="g", ack=ack, member=[  # type: ignore[arg-type]
            Member(name=name, address=f"127.0.0.1:{free_port()}", hall=name) for name in NAMES])
        node = Node("a", told, folder, store, CLOCK, Counters())
        node.desk = mock.Mock()
        self.addCleanup(node.stop)
        return node

    def holding(self, node: Node, term: int = 1, granted: bool = True) -> Holding:
        """The member has held the book; and holds it now, where a majority has granted it that term."""
        adoption = node.adoptions[BOOK] = Adoption(BOOK, "a", NAMES, resume=True)
        holding = node._hold(BOOK)
        node.store.resume_own(holding, term)
        node.store.begin_log(holding, term)
        holding.imported = True
        now = boot_time()
        adoption.holder.term = term - 1
        adoption.holder.begin(now, Grant(right_of(BOOK), 0, ""))
        adoption.stage = Stage.HOLDING
        if granted:
            for _ in range(2):  # the second answer is that to the heirs it names
                for name in NAMES:
                    adoption.holder.answered(now, now, name, Told(True, term, "a", (), adoption.holder.set))
                adoption.holder.name(now, ())
            self.assertTrue(adoption.holder.may_fire(now))
        return holding

    def test_what_the_newer_holder_has_copied_here_outlives_the_book_that_is_given_up(self) -> None:
        for closed in (False, True):
            node = self.member()
            holding = self.holding(node)
            holding.offered = True
            data = encode_facts([fact(1)])
            node.copies.piece(Piece(BOOK, 2, 0, EVERYTHING, data, 0, digest_of(data)))
            if closed:
                node.grantor.closed_elsewhere(Table(False, (Grant(right_of(BOOK), 2, "b", closed=True),)))
            node._drop(BOOK)
            self.assertNotIn(BOOK, node.store.holdings)
            self.assertEqual((node.copies.replica(BOOK) is None, BOOK in node.adoptions), (closed, not closed))

    def test_alone_a_member_asks_for_nothing(self) -> None:
        for few, stage in ((0, Stage.ASKING), (1, Stage.WAITING)):
            node = self.member()
            node.grantor = Grantor("a", NAMES, boot_time(), ())
            node.few_since = few
            adoption = node.adoptions[BOOK] = Adoption(BOOK, "a", NAMES, resume=True)
            node._hold(BOOK)
            with mock.patch("cedarwick.fleet.node.gevent.spawn"):
                node._look_at(boot_time(), adoption)
            self.assertEqual(adoption.stage, stage)

    def test_a_holder_that_says_it_fires_is_left_alone_and_one_that_forgot_the_book_is_gone(self) -> None:
        node, now = self.member(), boot_time()
        adoption = node.adoptions[BOOK] = Adoption(BOOK, "a", NAMES)
        with mock.patch.object(adoption, "step", wraps=adoption.step) as step:
            node._heard("b", 7, Beat(False, {}, (Right(BOOK, 3),)))
            node._look_at(now, adoption)
            self.assertGreaterEqual(step.call_args.args[2], now + SPAN)
            self.assertEqual(adoption.holder.newer, (3, "b"))
            adoption.holder.term = 5  # asked for in vain
            node._heard("b", 7, Beat(False, {}, (Right(BOOK, 3),)))
            self.assertEqual(adoption.holder.newer, (5, "b"))
            standing = step.call_args.args[3]
            self.assertIs(standing("b"), Standing.ALIVE)
            node._heard("b", 8, Beat(False, {}))
            self.assertIs(standing("b"), Standing.ALIVE)  # it may yet ask for the book
            node._look_at(boot_time() + module.REBORN, adoption)
            self.assertIs(step.call_args.args[3]("b"), Standing.DEAD)

    def test_who_asked_in_vain_is_taken_for_the_holder_only_for_a_while(self) -> None:
        node = self.member()
        adoption = node.adoptions[BOOK] = Adoption(BOOK, "a", NAMES)
        adoption.holder.newer = 3, "b"  # as a grantor said that has granted it to b, alone
        now = boot_time() + 1
        with mock.patch.object(node.members, "state", return_value=Standing.ALIVE):
            for after, name, stands in ((0, "b", Standing.ALIVE), (module.IDLE - 1, "b", Standing.ALIVE),
                                        (module.IDLE, "b", Standing.DEAD), (module.IDLE, "c", Standing.ALIVE)):
                self.assertIs(node._standing(now + after, name, adoption), stands)

    def test_who_leaves_or_fires_for_a_book_no_more_is_waited_for_no_longer(self) -> None:
        node = self.member()
        node.adoptions[BOOK] = Adoption(BOOK, "a", NAMES)
        node._heard("b", 7, Beat(False, {}, (Right(BOOK, 3),)))
        node._heard("c", 7, Beat(False, {}))
        self.assertIn(BOOK, node.served)
        node._heard("b", 7, Beat(True, {}))
        self.assertNotIn(BOOK, node.served)
        self.holding(node).serving = True
        self.assertEqual([right.book for right in node._own_beat().rights], [BOOK])
        node.leaving = True
        self.assertEqual(node._own_beat().rights, ())

    def test_a_member_without_room_is_no_place_for_a_copy_while_there_is_another(self) -> None:
        node = self.member()
        holding, now = self.holding(node), boot_time()
        node.alive = list(NAMES)
        first = node._wanted(holding)
        node.full_at[first[0]] = now
        self.assertNotEqual(node._wanted(holding), first)
        node.alive = ["a", first[0]]
        self.assertEqual(node._wanted(holding), first)

    def test_books_that_are_opened_later_know_the_new_members(self) -> None:
        node = self.member()
        with mock.patch("cedarwick.fleet.node.gevent.spawn"):
            node.start(mock.Mock())
            more = Member(name="d", address="127.0.0.1:1", hall="d")
            node.replace(msgspec.structs.replace(node.told, member=[*node.told.member, more]))
        assert node.ownership is not None
        self.assertIn("d", node.ownership.names)

    def test_what_nobody_else_can_answer_is_answered_late(self) -> None:
        late, ours, others = [number(1)], True, False
        for granted, serving, offered, few, ack, answered in (
                (True, False, False, False, "copy", ours),  # no copy follows
                (True, True, False, False, "copy", others),  # the desk sees to it
                (False, False, False, False, "copy", others),  # whoever is granted it answers
                (False, False, False, True, "copy", ours),
                (None, False, False, False, "own", ours),  # lost, and told to nobody
                (None, False, True, False, "own", others)):
            node = self.member(ack)
            holding = self.holding(node, granted=granted is True)
            node.store.keep(kept(1, life=100_000))
            node.store.keep(kept(2))
            holding.serving, holding.offered = serving, offered
            if granted is None:
                holding.adoption.stage = Stage.GONE
            node._answer_late(boot_time(), few)
            self.assertEqual(node.desk.answer_late.mock_calls, [mock.call(late)] * answered)  # type: ignore[attr-defined]

    def test_a_right_that_no_majority_speaks_of_any_more_is_as_good_as_gone(self) -> None:
        node = self.member()
        self.holding(node, granted=False)
        node.store.keep(kept(1, life=100_000))
        for after, calls in ((0, 0), (module.ALONE - 1, 0), (module.ALONE, 1)):
            node._answer_late(1_000_000_000 + after, few=False)
            self.assertEqual(len(node.desk.answer_late.mock_calls), calls)  # type: ignore[attr-defined]
        holding = node.store.holdings[BOOK]
        with mock.patch.object(holding.adoption.holder, "may_fire", return_value=True):
            node._answer_late(2_000_000_000, few=False)
        self.assertEqual(holding.unheld_since, 0)  # what follows is another loss

    def test_who_asked_in_vain_gives_its_own_promise_back(self) -> None:
        node = self.member()
        node.grantor = Grantor("a", NAMES, 0, ())
        adoption = node.adoptions[BOOK] = Adoption(BOOK, "a", NAMES, resume=True)
        node._hold(BOOK)
        now = boot_time()
        with mock.patch("cedarwick.fleet.node.gevent.spawn"):
            node._look_at(now, adoption)
            self.assertGreaterEqual(node.grantor.promised(right_of(BOOK)), now + SPAN)
            node._look_at(boot_time() + SPAN, adoption)
        self.assertLess(node.grantor.promised(right_of(BOOK)), now + SPAN)

    def test_a_book_that_finds_no_room_here_is_given_back_and_asked_for_again(self) -> None:
        node = self.member()
        holding = self.holding(node)
        holding.log.term, holding.adoption._resume = 0, False
        with mock.patch.object(node.store, "resume_own", side_effect=NoRoom("full")), \
                mock.patch("cedarwick.fleet.node.gevent.spawn"):
            node._import(boot_time(), holding.adoption)
        node._look_at(boot_time(), holding.adoption)
        self.assertIs(holding.adoption.stage, Stage.WAITING)

    def test_a_damaged_folder_leaves_its_books_to_the_heirs_for_a_while_and_a_copy_is_no_book(self) -> None:
        node = self.member()
        self.holding(node)
        node.store.keep(kept(1))
        node.store.close()
        again = self.member(folder=node.store.folder.path)
        again.copies.piece(Piece(BOOK + 1, 2, 0, EVERYTHING, encode_facts([]), 0, digest_of(encode_facts([]))))
        again.copies.close()
        again.store.damaged = True
        with mock.patch("cedarwick.fleet.node.gevent.spawn"):
            again.start(mock.Mock())
            self.assertEqual((set(again.store.holdings), set(again.adoptions)), ({BOOK}, {BOOK, BOOK + 1}))
            again.grantor = Grantor("a", NAMES, 0, ())
            now = again.begun_at + module.DOUBTED
            for at, asks in ((now - 1, False), (now, True)):
                again._look_at(at, again.adoptions[BOOK])
                self.assertEqual(again.adoptions[BOOK].stage is Stage.ASKING, asks)

    def test_no_second_shot_goes_out_under_a_new_number_beside_the_first(self) -> None:
        node = self.member("own")
        holding = self.holding(node)
        holding.serving, node.store.current = True, holding
        node.store.keep(kept(1))
        node.store.shot(number(1), CLOCK.now(), 0)
        with mock.patch.object(node, "_rekey") as rekey:
            node._drop(BOOK)
            rekey.assert_not_called()
            self.assertIn(BOOK, node.adoptions)

    def test_a_slow_disk_holds_up_only_the_answers_that_rest_on_it(self) -> None:
        node, go = self.member(), threading.Event()
        node.grantor = Grantor("a", NAMES, 0, ())
        asks = [Ask(f"book:{book}", 1, "b", SPAN) for book in (1, 2)]
        node._answer_ask(asks[0])
        write = node.lasting.write_table
        with mock.patch.object(node.lasting, "write_table", side_effect=lambda table: go.wait(5) and write(table)):
            out = [gevent.spawn(node._answer_ask, asks[1]) for _ in range(2)]
            gevent.sleep(0.02)
            self.assertTrue(node._answer_ask(asks[0]).granted)  # on the disk since before
            self.assertFalse(any(each.ready() for each in out))
            go.set()
            self.assertTrue(all(each.get(timeout=5).granted for each in out))
        table = node.lasting.table()
        self.assertEqual([grant.right for grant in table.grants] if table else [], ["book:1", "book:2"])

    def test_a_copy_counts_once_a_majority_knows_its_heir(self) -> None:
        node = self.member()
        holding = self.holding(node)
        holding.adoption.holder.name(boot_time(), ["b"])
        self.assertFalse(node._copied(boot_time(), holding))

    def test_an_owner_that_was_started_again_offers_what_lies_in_its_folder(self) -> None:
        node = self.member("own")
        self.holding(node)
        node.store.keep(kept(1))
        node.store.close()
        again = self.member("own", node.store.folder.path)
        again._note(BOOK, 1, 0)
        adoption = again.adoptions[BOOK] = Adoption(BOOK, "a", NAMES, 1, resume=True)
        adoption.stage = Stage.OFFERING
        holding = again._hold(BOOK)
        self.assertEqual(again.store.only_here(holding), ([], [number(1)]))
        offers: list[Any] = []

        def call(name: str, body: Body, within_s: float) -> Body:
            offers.append(body)
            return Taken(BOOK, 0)

        with mock.patch.object(again, "_call", call):
            again._offer(adoption, "b")
        offer: Offer = offers[0]
        self.assertEqual([each.number for each in decode_facts(offer.facts)], [number(1)])
        self.assertEqual((offer.term, adoption.stage), (1, Stage.GONE))

    def test_a_copy_that_followed_behind_is_in_doubt_since_the_last_shot_it_heard_of(self) -> None:
        node = self.member("own")
        adoption = node.adoptions[BOOK] = Adoption(BOOK, "a", NAMES)
        shot = Fact(number(1), fact(1).base, Known({1: Head(1, True, 77, 0)}))
        data = encode_facts([shot, fact(2)])
        node.copies.piece(Piece(BOOK, 1, 0, EVERYTHING, data, 0, digest_of(data)))
        adoption.holder.term = 2
        with mock.patch("cedarwick.fleet.node.gevent.spawn"):
            node._import(boot_time(), adoption)
        self.assertEqual([node.store.kept[number(index)].doubt_at for index in (1, 2)], [77, 77])

    def test_an_owner_that_comes_back_after_others_waits_for_what_they_may_offer(self) -> None:
        for term, from_term in ((2, 0), (3, 1)):
            node = self.member()
            node._note(BOOK, 1, 0)
            adoption = node.adoptions[BOOK] = Adoption(BOOK, "a", NAMES, 1, resume=True)
            adoption.holder.term = term
            with mock.patch("cedarwick.fleet.node.gevent.spawn"):
                node._import(boot_time(), adoption)
            self.assertEqual(node.store.holdings[BOOK].from_term, from_term)

    def test_an_adopted_book_is_kept_for_what_its_last_holder_may_offer(self) -> None:
        for from_term, waits in ((1, True), (0, False)):
            node = self.member()
            holding = self.holding(node)
            holding.from_term = from_term
            now = boot_time()
            self.assertEqual(node._expects_offer(now, holding), waits)
            self.assertFalse(node._expects_offer(now + module.EXPECTED, holding))
            empty = encode_facts([])
            node._offered("b", Offer(BOOK, 0, True, empty, digest_of(empty), 1))
            self.assertEqual(node._expects_offer(now, holding), waits)  # it may not have the answer yet
            self.assertFalse(node._expects_offer(now + 4_000_000, holding))

    def test_what_is_adopted_at_its_limit_has_failed_and_what_only_this_member_had_is_kept(self) -> None:
        store = self.member().store
        holding = Holding(BOOK, mock.Mock())
        store.holdings[BOOK] = holding
        for index in (3, 4, 5):
            holding.ledger.known[number(index)] = Known()
            super(Shared, store).keep(kept(index))
        soon = CLOCK.now() + 300_000
        store.take_in(holding, [fact(1), fact(2, life=0)], 2, 0, [number(3)], [number(4)], soon)
        ends = {index: store.kept[number(index)].end for index in range(1, 6) if number(index) in store.kept}
        self.assertEqual(ends, {1: None, 2: (False, 0), 3: None, 4: (False, 0)})
        self.assertEqual(holding.ledger.known[number(4)].end[0], Rank.FAILED)


class Tables(unittest.TestCase):
    def test_what_is_learned_counts_as_promised_for_a_span(self) -> None:
        grantor = Grantor("a", NAMES, 0, None)
        right = right_of(BOOK)
        rows = (Grant(right, 3, "b", ("b", "a"), 3 << 20 | 1),)
        for name in ("b", "c"):
            grantor.learned(SPAN, name, Table(False, rows))
        self.assertEqual((grantor.learning, grantor.promised(right)), (False, 2 * SPAN))

    def test_only_closed_rows_of_another_table_are_taken_over(self) -> None:
        grantor = Grantor("a", NAMES, 0, ())
        other = right_of(BOOK + 2)
        grantor.closed_elsewhere(Table(False, (Grant(right_of(BOOK + 1), 2, "b", closed=True), Grant(other, 2, "b"))))
        self.assertEqual((grantor.grant(right_of(BOOK + 1)).closed, grantor.grant(other).term, grantor.dirty),
                         (True, 0, True))


class Posts(unittest.TestCase):
    def test_a_notice_that_was_given_up_during_its_post_does_no_harm(self) -> None:
        for status in (204, 500):
            notices = Notices(("", 0), Counters(), mock.Mock(side_effect=KeyboardInterrupt))

            def post(_: bytes, notices: Notices = notices, status: int = status) -> int:
                notices.owed.clear()
                return status

            with mock.patch.object(notices, "_post", post), \
                    mock.patch("cedarwick.net.notices.gevent.sleep", side_effect=KeyboardInterrupt):
                notices.post(1, "id", True, 0)
                with self.assertRaises(KeyboardInterrupt):  # it came to its next step
                    notices.run()


if __name__ == "__main__":
    unittest.main()
