/** Datagrams with a keyed trailer, and one thread that serves many sockets. */
package linengauge.udp;
