// Carries the precompiled headers; has nothing of its own.
