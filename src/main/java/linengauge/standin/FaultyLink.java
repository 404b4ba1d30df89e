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
 * A TCP link between two endpoints that can delay or reset traffic, slow answers down, or hold or
 * drop one direction. Its methods may be called from any thread.
 */
public final class FaultyLink {
  private final Vertx vertx;
  private final NetClient client;
  private final String host;
  private final int targetPort;

  private record Endpoint(NetSocket socket, boolean sendsAnswers) {}

  private final List<Endpoint> endpoints = new CopyOnWriteArrayList<>();
  private NetServer server;
  private volatile int delayMs;
  private volatile int trickleBytes;
  private volatile boolean dropAnswers;
  private volatile boolean dropRequests;
  private volatile boolean resetOnAnswer;
  private volatile boolean holdRequests;
  private volatile boolean holdAnswers;

  public FaultyLink(Vertx vertx, String host, int targetPort) {
    this.vertx = vertx;
    this.host = host;
    this.targetPort = targetPort;
    this.client = vertx.createNetClient();
  }

  /** Opens the link; completes with its port. */
  public Future<Integer> open() {
    server = vertx.createNetServer();
    server.connectHandler(
        callerSocket -> {
          Endpoint callerEnd = new Endpoint(callerSocket, false);
          endpoints.add(callerEnd);
          callerSocket.pause();
          client
              .connect(targetPort, host)
              .onFailure(error -> callerSocket.close())
              .onSuccess(
                  targetSocket -> {
                    Endpoint targetEnd = new Endpoint(targetSocket, true);
                    endpoints.add(targetEnd);
                    forward(callerEnd, targetSocket);
                    forward(targetEnd, callerSocket);
                    updateReading(callerEnd);
                    updateReading(targetEnd);
                  });
        });
    return server.listen(0, host).map(NetServer::actualPort);
  }

  private boolean isHeld(Endpoint endpoint) {
    return endpoint.sendsAnswers ? holdAnswers : holdRequests;
  }

  private void updateReading(Endpoint endpoint) {
    if (isHeld(endpoint)) {
      endpoint.socket.pause();
    } else {
      endpoint.socket.resume();
    }
  }

  private void forward(Endpoint endpoint, NetSocket destination) {
    NetSocket source = endpoint.socket;
    boolean answers = endpoint.sendsAnswers;
    source.exceptionHandler(error -> {});
    source.closeHandler(
        v -> {
          endpoints.remove(endpoint);
          vertx.setTimer(Math.max(1, delayMs), t -> destination.close());
        });
    source.handler(
        data -> {
          if (answers && resetOnAnswer) {
            source.close();
            destination.close();
          } else if (answers ? dropAnswers : dropRequests) {
            return;
          } else if (answers && trickleBytes > 0) {
            trickle(destination, data, 0);
          } else if (delayMs > 0) {
            vertx.setTimer(delayMs, t -> destination.write(data));
          } else {
            destination.write(data);
            if (destination.writeQueueFull()) {
              source.pause();
              destination.drainHandler(v -> updateReading(endpoint));
            }
          }
        });
  }

  private void trickle(NetSocket destination, Buffer data, int from) {
    int until = Math.min(data.length(), from + trickleBytes);
    destination.write(data.getBuffer(from, until));
    if (until < data.length()) {
      vertx.setTimer(100, t -> trickle(destination, data, until));
    }
  }

  public void setDelay(int ms) {
    delayMs = ms;
  }

  /** Limits answers to so many bytes per tenth of a second; 0 means full speed. */
  public void setTrickle(int bytes) {
    trickleBytes = bytes;
  }

  /**
   * While on, requests stay unread; they are forwarded once it is off, as when a network drops
   * packets and TCP sends them again.
   */
  public void holdRequests(boolean on) {
    holdRequests = on;
    endpoints.forEach(this::updateReading);
  }

  /** Holds answers in the same way. */
  public void holdAnswers(boolean on) {
    holdAnswers = on;
    endpoints.forEach(this::updateReading);
  }

  public void dropAnswers(boolean on) {
    dropAnswers = on;
  }

  public void dropRequests(boolean on) {
    dropRequests = on;
  }

  /** Closes a connection as soon as the other side answers. */
  public void resetOnAnswer(boolean on) {
    resetOnAnswer = on;
  }

  /** Closes all connections now. */
  public void closeConnections() {
    endpoints.forEach(endpoint -> endpoint.socket.close());
  }
}
