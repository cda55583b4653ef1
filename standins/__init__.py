"""Stand-ins for the platform, engines, services, trainers and callers."""
