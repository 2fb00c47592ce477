"""What the operators' staff use: the management address, its calls, the hand-over of a replaced process."""
