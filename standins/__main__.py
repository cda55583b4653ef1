"""``python -m standins ROLE --listen 127.0.0.1:PORT [OPTION=VALUE …]``."""

from standins._roles import main

main()
