package linengauge.standin;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.net.NetClient;
import io.vertx.core.net.NetServer;
import io.vertx.core.net.NetSocket;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * A TCP link between any two that can be made to delay, trickle, hold or swallow one way, or reset.
 * Its methods may be called from any thread.
 */
public final class FaultyLink {
  private final Vertx vertx;
  private final NetClient client;
  private final String host;
  private final int to;

  private record End(NetSocket socket, boolean answers) {}

  private final List<End> open = new CopyOnWriteArrayList<>();
  private NetServer server;
  private volatile int delayMs;
  private volatile int trickleBytes;
  private volatile boolean dropAnswers;
  private volatile boolean dropRequests;
  private volatile boolean resetOnAnswer;
  private volatile boolean holdRequests;
  private volatile boolean holdAnswers;

  public FaultyLink(Vertx vertx, String host, int to) {
    this.vertx = vertx;
    this.host = host;
    this.to = to;
    this.client = vertx.createNetClient();
  }

  /** Opens the link; done with its port. */
  public Future<Integer> open() {
    server = vertx.createNetServer();
    server.connectHandler(
        near -> {
          End asks = new End(near, false);
          open.add(asks);
          near.pause();
          client
              .connect(to, host)
              .onFailure(e -> near.close())
              .onSuccess(
                  far -> {
                    End answers = new End(far, true);
                    open.add(answers);
                    carry(asks, far);
                    carry(answers, near);
                    goOn(asks);
                    goOn(answers);
                  });
        });
    return server.listen(0, host).map(NetServer::actualPort);
  }

  private boolean isHeld(End e) {
    return e.answers ? holdAnswers : holdRequests;
  }

  private void goOn(End e) {
    if (isHeld(e)) {
      e.socket.pause();
    } else {
      e.socket.resume();
    }
  }

  private void carry(End end, NetSocket on) {
    NetSocket from = end.socket;
    boolean answers = end.answers;
    from.exceptionHandler(e -> {});
    from.closeHandler(
        v -> {
          open.remove(end);
          vertx.setTimer(Math.max(1, delayMs), t -> on.close());
        });
    from.handler(
        b -> {
          if (answers && resetOnAnswer) {
            from.close();
            on.close();
          } else if (answers ? dropAnswers : dropRequests) {
            return;
          } else if (answers && trickleBytes > 0) {
            trickle(on, b, 0);
          } else if (delayMs > 0) {
            vertx.setTimer(delayMs, t -> on.write(b));
          } else {
            on.write(b);
            if (on.writeQueueFull()) {
              from.pause();
              on.drainHandler(v -> goOn(end));
            }
          }
        });
  }

  private void trickle(NetSocket on, Buffer b, int from) {
    int until = Math.min(b.length(), from + trickleBytes);
    on.write(b.getBuffer(from, until));
    if (until < b.length()) {
      vertx.setTimer(100, t -> trickle(on, b, until));
    }
  }

  public void setDelay(int ms) {
    delayMs = ms;
  }

  /** Answers come with so many bytes in each tenth of a second; 0: at full speed. */
  public void setTrickle(int bytes) {
    trickleBytes = bytes;
  }

  /**
   * What is asked stays unread from now on, and is carried once this is over: as where a network
   * drops its packets.
   */
  public void holdRequests(boolean on) {
    holdRequests = on;
    open.forEach(this::goOn);
  }

  /** The same of what is answered. */
  public void holdAnswers(boolean on) {
    holdAnswers = on;
    open.forEach(this::goOn);
  }

  public void dropAnswers(boolean on) {
    dropAnswers = on;
  }

  public void dropRequests(boolean on) {
    dropRequests = on;
  }

  /** Connections break as soon as the other side answers. */
  public void resetOnAnswer(boolean on) {
    resetOnAnswer = on;
  }

  /** Breaks all connections now. */
  public void closeConnections() {
    open.forEach(e -> e.socket.close());
  }
}
