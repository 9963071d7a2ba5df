"""Configuration: the platform's JSON file and this project's INI files."""
