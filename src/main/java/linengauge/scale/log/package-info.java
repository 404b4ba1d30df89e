/** What following the decided log costs a front and a voter, over real sockets on loopback. */
package linengauge.scale.log;
