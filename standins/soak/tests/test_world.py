import socket

from standins.soak import world


# A caller of one entry heard the empty answer of another's "ready": both had
# been given the same port, one after the other, before either listened.
def test_no_port_is_handed_out_twice():
    ports = world.Ports()
    taken = ports.take(4) + ports.take(4)
    assert len(set(taken)) == 8
    with socket.create_server(("127.0.0.1", taken[-1] + 1)):
        assert taken[-1] + 1 not in ports.take(4)
