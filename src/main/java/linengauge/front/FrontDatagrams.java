package linengauge.front;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.datagram.DatagramPacket;
import io.vertx.core.datagram.DatagramSocket;
import java.util.function.Consumer;
import linengauge.carry.Wall;
import linengauge.flow.Intake;
import linengauge.site.Site;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/** Datagrams between the desks of fronts. Used on the desk alone. */
final class FrontDatagrams {
  private static final Logger LOG = LoggerFactory.getLogger(FrontDatagrams.class);

  private final Vertx vertx;
  private final Site site;
  private final Intake intake;
  private DatagramSocket socket;

  FrontDatagrams(Vertx vertx, Site site) {
    this.vertx = vertx;
    this.site = site;
    this.intake = new Intake(site.fronts().wordsPerSecond(), 2 * site.fronts().count() + 8);
  }

  /** Binds the socket, where the site file names one and lets fronts speak to each other. */
  Future<?> open(Consumer<byte[]> receiver) {
    if (!site.deployment().permits().messages() || site.front().words() == null) {
      return Future.succeededFuture();
    }
    Site.Address at = Site.Address.parse(site.front().words());
    socket = vertx.createDatagramSocket();
    return socket
        .listen(at.port(), at.host())
        .onSuccess(
            bound ->
                bound
                    .handler(packet -> receive(packet, receiver))
                    .exceptionHandler(e -> LOG.warn("datagrams", e)));
  }

  private void receive(DatagramPacket packet, Consumer<byte[]> receiver) {
    String sender = packet.sender().hostAddress() + ":" + packet.sender().port();
    if (!site.flow().guards() || intake.hears(sender, Wall.now())) {
      receiver.accept(packet.data().getBytes());
    }
  }

  void send(int front, byte[] datagram) {
    String to =
        site.fronts().words() == null ? null : site.fronts().words().get(Integer.toString(front));
    if (socket != null && to != null) {
      Site.Address at = Site.Address.parse(to);
      socket.send(Buffer.buffer(datagram), at.port(), at.host());
    }
  }

  /** Datagrams that were passed over since their senders sent too many. */
  long passedOver() {
    return intake.passedOver();
  }
}
