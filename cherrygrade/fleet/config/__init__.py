"""The fleet's shared configuration: a text that is applied on top of each dispatcher's own file.

The council's replicated log orders the versions of that text. Members learn of a new version from
adverts, and act on an advert only once witnesses confirm it (`witnesses.py`, docs/config-design.md). This
package only decides: it has no I/O, no clock and no random source other than a seeded one. Sockets and
disk are in `fleet/runtime/config_exchange.py`.
"""
