"""Reading of configuration: the platform's JSON, and this project's INI files."""
