"""The replicated log on real disks, clocks and links, and how any node reaches its leader."""
