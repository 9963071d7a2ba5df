"""Configuration: the platform's start settings (JSON) and the reader of this project's
INI files.
"""
