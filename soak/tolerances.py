"""What the checker allows for the observers themselves."""

MEASURING_SLACK_S = 0.05  # the time that clients and proxy take to observe an event, on a quiet machine
