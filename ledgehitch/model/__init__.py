"""A whole fleet in virtual time: viewers, gateways with the real decision module, media hosts, links, faults.

Never touches a clock, a socket or chance that is not seeded: one seed, one result, byte for byte. Start
reading at `day.py`; `front.py` is the gateway, `media.py` the media host.
"""
