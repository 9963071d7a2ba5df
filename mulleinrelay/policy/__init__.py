"""What keeps hundreds of directors that don't talk to each other out of step: pure decisions, time
and chance passed in.
"""
