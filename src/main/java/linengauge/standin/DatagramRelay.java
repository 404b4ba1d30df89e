package linengauge.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.datagram.DatagramSocket;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;

/**
 * Relays datagrams between fronts through one port for each receiving front, with delay and loss.
 */
public final class DatagramRelay {
  private final Vertx vertx;
  private final SplittableRandom random;
  private final List<DatagramSocket> sockets = new ArrayList<>();
  private double lossRate;
  private long relayed;
  private long dropped;

  public DatagramRelay(Vertx vertx, long seed) {
    this.vertx = vertx;
    this.random = new SplittableRandom(seed);
  }

  /** Relays what arrives at one port to the other. */
  public Future<?> relay(String host, int fromPort, int toPort) {
    DatagramSocket socket = vertx.createDatagramSocket();
    sockets.add(socket);
    return socket
        .listen(fromPort, host)
        .onSuccess(
            bound ->
                bound.handler(
                    packet -> {
                      if (random.nextDouble() < lossRate) {
                        dropped++;
                        return;
                      }
                      relayed++;
                      vertx.setTimer(
                          2 + random.nextInt(15), t -> socket.send(packet.data(), toPort, host));
                    }));
  }

  /** Sets the probability that a datagram is lost. */
  public void setLossRate(double rate) {
    lossRate = rate;
  }

  public long relayed() {
    return relayed;
  }

  public long dropped() {
    return dropped;
  }
}
