package linengauge.soak;

import java.io.IOException;
import java.net.ConnectException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import linengauge.standin.FaultyServer;
import linengauge.standin.PlatformViewers;
import linengauge.standin.PlatformViewers.FrontMessage;

/**
 * The clients of one front, on one thread: regular ones, some that cancel early, repeat, write in
 * pieces or close the connection right after writing, and some that send invalid data. They reuse
 * open connections as long as these last, and retry at once when one ends.
 */
final class SoakClients implements Runnable {
  private static final int ANSWERED = 9;
  private static final int RELEASED = 12;
  private static final int MOVED = 51;
  private static final int MAX_CONNECTIONS = 4;
  private static final int TICK_MS = 3;
  private static final int CANCEL_CAUSE = 16;
  private static final long RESEND_WINDOW_MICROS = 55_000;
  private static final int MAX_INVALID_BYTES = 4096;
  private static final List<Integer> REJECTION_CAUSES = List.of(34, 42, 102);

  private final class Connection {
    private final PlatformViewers socket;
    private final Map<Long, SoakRequest> waiting = new HashMap<>();

    private Connection() throws IOException {
      socket = new PlatformViewers(front.port);
    }
  }

  private final SoakFront front;
  private final SoakTerms terms;
  private final SplittableRandom random;
  private final List<Connection> connections = new ArrayList<>();
  private final List<PlatformViewers> invalidClients = new ArrayList<>();
  private final Map<Long, SoakRequest> requests = new HashMap<>();
  private long nextId;
  private volatile boolean sending = true;
  private volatile boolean running = true;
  private volatile int burstSize;
  private volatile boolean handOverPending;

  SoakClients(SoakFront front, SoakTerms terms, SplittableRandom random) {
    this.front = front;
    this.terms = terms;
    this.random = random;
    this.nextId = (front.number + 1L) * 1_000_000;
  }

  /** Sends so many requests at once in the next turn. */
  void scheduleBurst(int size) {
    burstSize = size;
  }

  /** Hands the open sessions over in the next turn, after the front has restarted. */
  void scheduleHandOver() {
    handOverPending = true;
  }

  void stopSending() {
    sending = false;
  }

  void stop() {
    running = false;
  }

  synchronized List<SoakRequest> requests() {
    return List.copyOf(requests.values());
  }

  @Override
  public void run() {
    long nextAt = FaultyServer.nowMicros();
    try {
      while (running) {
        Thread.sleep(TICK_MS);
        turn(sending && FaultyServer.nowMicros() >= nextAt);
        if (FaultyServer.nowMicros() >= nextAt) {
          nextAt = FaultyServer.nowMicros() + 1000L * (10 + random.nextInt(70));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void turn(boolean requestDue) throws InterruptedException {
    for (Connection connection : List.copyOf(connections)) {
      receive(connection);
    }
    endSessions();
    if (handOverPending) {
      handOverPending = false;
      handOverSessions();
    }
    int count = (requestDue ? 1 : 0) + burstSize;
    burstSize = 0;
    for (int i = 0; i < count; i++) {
      sendRequest();
    }
    if (requestDue && random.nextInt(12) == 0) {
      sendInvalid();
    }
  }

  /* ---- requests ---- */

  private void sendRequest() throws InterruptedException {
    long[] deadlines = {terms.deadlineMs(), terms.deadlineMs(), terms.deadlineMs() / 2};
    SoakRequest request =
        new SoakRequest(
            nextId++,
            random.nextInt(4) == 0,
            front.number,
            deadlines[random.nextInt(deadlines.length)]);
    requests.put(request.id, request);
    send(request, random.nextInt(4) > 0);
  }

  private void send(SoakRequest request, boolean reuseConnection) throws InterruptedException {
    Connection connection = reuseConnection && !connections.isEmpty() ? anyConnection() : connect();
    if (connection == null) {
      request.notConnected = true;
      return;
    }
    byte[] message =
        PlatformViewers.setUp(request.id, request.paid ? "paid" : "lesson", request.deadlineMs, "");
    try {
      int firstLength =
          random.nextInt(8) == 0 ? 1 + random.nextInt(message.length - 1) : message.length;
      connection.socket.send(java.util.Arrays.copyOf(message, firstLength));
      if (firstLength < message.length) {
        Thread.sleep(1 + random.nextInt(4));
        connection.socket.send(java.util.Arrays.copyOfRange(message, firstLength, message.length));
      }
      request.sentAt = FaultyServer.nowMicros();
      connection.waiting.put(request.id, request);
      abandonSome(connection, request);
    } catch (IOException e) {
      request.sentAt = FaultyServer.nowMicros();
      connection.waiting.put(request.id, request);
      connectionEnded(connection);
    }
  }

  /**
   * Some leave at once: by a cancellation right behind the request, or by closing the connection.
   */
  private void abandonSome(Connection connection, SoakRequest request) throws IOException {
    int choice = random.nextInt(40);
    if (choice == 0) {
      cancel(connection, request);
    } else if (choice == 1) {
      closeFromClient(connection);
    }
  }

  private Connection anyConnection() {
    return connections.get(random.nextInt(connections.size()));
  }

  private Connection connect() {
    if (connections.size() >= MAX_CONNECTIONS) {
      return anyConnection();
    }
    try {
      Connection opened = new Connection();
      connections.add(opened);
      return opened;
    } catch (ConnectException e) {
      return null; // Nothing listens there.
    } catch (IOException e) {
      return null;
    }
  }

  private void cancel(Connection connection, SoakRequest request) throws IOException {
    connection.socket.end(request.id, CANCEL_CAUSE);
    request.cancelledAt = FaultyServer.nowMicros();
    connection.waiting.remove(request.id);
  }

  private void closeFromClient(Connection connection) throws IOException {
    connections.remove(connection);
    for (SoakRequest request : connection.waiting.values()) {
      request.cancelledAt = FaultyServer.nowMicros();
      request.abandonedByClose = true;
    }
    connection.socket.close();
  }

  /* ---- answers ---- */

  private void receive(Connection connection) throws InterruptedException {
    for (FrontMessage message = connection.socket.next(0);
        message != null;
        message = connection.socket.next(0)) {
      if (message == FrontMessage.CLOSED) {
        connectionEnded(connection);
        return;
      }
      SoakRequest request = requests.get(message.id());
      if (request != null) {
        handle(request, message);
        connection.waiting.remove(message.id());
      }
    }
    long now = FaultyServer.nowMicros();
    for (SoakRequest request : List.copyOf(connection.waiting.values())) {
      if (now - request.sentAt > 1000 * request.deadlineMs / 4 && random.nextInt(2000) == 0) {
        try {
          cancel(connection, request);
        } catch (IOException e) {
          connectionEnded(connection);
          return;
        }
      }
    }
  }

  private void handle(SoakRequest request, FrontMessage message) {
    long now = FaultyServer.nowMicros();
    if (message.type() == ANSWERED) {
      handleAnswer(request, message, now);
    } else if (message.type() == RELEASED || message.type() == MOVED) {
      if (request.answers.contains("answered")) {
        request.releasedAt = Math.min(request.releasedAt, now);
      } else {
        recordAnswer(
            request, REJECTION_CAUSES.contains(message.cause()) ? "refused" : "failed", now);
      }
    }
  }

  private void handleAnswer(SoakRequest request, FrontMessage message, long now) {
    recordAnswer(request, "answered", now);
    String expectedStart = "m=audio of " + request.id + "\r\nat ";
    if (message.description() == null || !message.description().startsWith(expectedStart)) {
      request.wrongAnswer =
          "answered with a description that no server made for it: " + message.description();
    } else {
      request.server = message.description().substring(expectedStart.length()).strip();
      request.sessionUntil = now + 1000L * (200 + random.nextInt(3000));
    }
  }

  private static void recordAnswer(SoakRequest request, String outcome, long now) {
    request.answers.add(outcome);
    request.answeredAt = Math.min(request.answeredAt, now);
  }

  /**
   * Handles a connection that the other side has closed: a request that was sent just before is
   * sent again, once.
   */
  private void connectionEnded(Connection connection) throws InterruptedException {
    connections.remove(connection);
    try {
      connection.socket.close();
    } catch (IOException e) {
      // The socket is closed already.
    }
    long now = FaultyServer.nowMicros();
    for (SoakRequest request : List.copyOf(connection.waiting.values())) {
      if (now - request.sentAt <= RESEND_WINDOW_MICROS && !request.resent) {
        request.resent = true;
        send(request, false);
      } else {
        request.connectionLostAt = now;
      }
    }
  }

  /* ---- sessions ---- */

  private void endSessions() {
    long now = FaultyServer.nowMicros();
    for (SoakRequest request : requests.values()) {
      if (request.hasSession() && request.sessionUntil < now && !connections.isEmpty()) {
        Connection connection = anyConnection();
        try {
          connection.socket.end(request.id, CANCEL_CAUSE);
          request.endedByClientAt = now;
          if (random.nextInt(25) == 0) {
            closeFromClient(connection); // Closes right behind the message it wrote.
          }
        } catch (IOException e) {
          return; // The next turn sends the end again.
        }
      }
    }
  }

  private void handOverSessions() {
    Connection connection = connect();
    for (SoakRequest request : requests.values()) {
      if (connection != null && request.hasSession()) {
        try {
          connection.socket.send(
              PlatformViewers.setUp(
                  request.id, request.paid ? "paid" : "lesson", 0, ";at:" + request.server));
        } catch (IOException e) {
          return;
        }
      }
    }
  }

  /* ---- invalid clients ---- */

  private void sendInvalid() {
    try {
      PlatformViewers socket = new PlatformViewers(front.port);
      invalidClients.add(socket);
      if (invalidClients.size() > 10) {
        invalidClients.remove(0).close();
      }
      byte[] noise = new byte[random.nextInt(MAX_INVALID_BYTES) + 1];
      switch (random.nextInt(5)) {
        case 0 -> {
          for (int i = 0; i < noise.length; i++) {
            noise[i] = (byte) random.nextInt(256);
          }
          socket.send(noise);
        }
        case 1 -> socket.send(new byte[] {(byte) 0xff, (byte) 0xff, 1});
        case 2 -> socket.send(PlatformViewers.setUp(nextId++, "no such class", 1000, ""));
        case 3 -> {
          byte[] half = PlatformViewers.setUp(nextId++, "lesson", 1000, "");
          socket.send(java.util.Arrays.copyOf(half, half.length / 2));
          socket.close();
        }
        default -> {
          // Connects and sends nothing.
        }
      }
    } catch (IOException e) {
      // The front has closed the connection, as it should.
    }
  }
}
