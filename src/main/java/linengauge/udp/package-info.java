/** Authenticated datagram sockets and a single-threaded event loop that serves many of them. */
package linengauge.udp;
