from cherrygrade.cli import main

main()
