package linengauge.front;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import java.util.function.Consumer;
import linengauge.flow.DatagramRateLimiter;
import linengauge.net.WallClock;
import linengauge.site.Site;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Datagrams between fronts. Confined to the session loop. */
final class FrontDatagrams {
  private static final Logger LOG = LoggerFactory.getLogger(FrontDatagrams.class);

  private final Vertx vertx;
  private final Site site;
  private final DatagramRateLimiter rateLimiter;
  private DatagramSocket socket;

  FrontDatagrams(Vertx vertx, Site site) {
    this.vertx = vertx;
    this.site = site;
    this.rateLimiter =
        new DatagramRateLimiter(site.fronts().wordsPerSecond(), 2 * site.fronts().count() + 8);
  }

  /** Binds the socket, where the site file names one and permits messages between fronts. */
  Future<?> open(Consumer<byte[]> receiver) {
    if (!site.deployment().permissions().mayMessageFronts() || site.front().words() == null) {
      return Future.succeededFuture();
    }
    Site.Address address = Site.Address.parse(site.front().words());
    socket = vertx.createDatagramSocket();
    return socket
        .listen(address.port(), address.host())
        .onSuccess(
            bound ->
                bound
                    .handler(packet -> receive(packet, receiver))
                    .exceptionHandler(e -> LOG.warn("datagram socket failed", e)));
  }

  private void receive(DatagramPacket packet, Consumer<byte[]> receiver) {
    String sender = packet.sender().hostAddress() + ":" + packet.sender().port();
    if (!site.flow().guards() || rateLimiter.accept(sender, WallClock.now())) {
      receiver.accept(packet.data().getBytes());
    }
  }

  void send(int front, byte[] datagram) {
    String target =
        site.fronts().words() == null ? null : site.fronts().words().get(Integer.toString(front));
    if (socket != null && target != null) {
      Site.Address address = Site.Address.parse(target);
      socket.send(Buffer.buffer(datagram), address.port(), address.host());
    }
  }

  /** Datagrams dropped because their senders exceeded the rate limit. */
  long dropped() {
    return rateLimiter.dropped();
  }
}
