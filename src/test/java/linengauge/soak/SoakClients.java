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
 * The clients of one front, on a thread of their own: usual ones, some that give up early, repeat,
 * write in pieces or close as they write, and bad ones. They use open connections as long as these
 * are open, and come again at once where one ends.
 */
final class SoakClients implements Runnable {
  private static final int ANSWERED = 9;
  private static final int RELEASED = 12;
  private static final int MOVED = 51;
  private static final int MOST_CONNECTIONS = 4;
  private static final int TICK_MS = 3;
  private static final int GIVE_UP = 16;
  private static final long CROSSING_MICROS = 55_000;
  private static final int BAD_BYTES = 4096;
  private static final List<Integer> REFUSALS = List.of(34, 42, 102);

  private final class Connection {
    private final PlatformViewers socket;
    private final Map<Long, SoakRequest> waiting = new HashMap<>();

    private Connection() throws IOException {
      socket = new PlatformViewers(front.port);
    }
  }

  private final SoakFront front;
  private final SoakTerms terms;
  private final SplittableRandom chance;
  private final List<Connection> connections = new ArrayList<>();
  private final List<PlatformViewers> bad = new ArrayList<>();
  private final Map<Long, SoakRequest> requests = new HashMap<>();
  private long nextId;
  private volatile boolean asking = true;
  private volatile boolean running = true;
  private volatile int burst;
  private volatile boolean handOver;

  SoakClients(SoakFront front, SoakTerms terms, SplittableRandom chance) {
    this.front = front;
    this.terms = terms;
    this.chance = chance;
    this.nextId = (front.number + 1L) * 1_000_000;
  }

  /** So many requests at once, with the next turn. */
  void burst(int more) {
    burst = more;
  }

  /** The front has come back after it was killed: what stands is handed over to it. */
  void handOver() {
    handOver = true;
  }

  void stopAsking() {
    asking = false;
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
        turn(asking && FaultyServer.nowMicros() >= nextAt);
        if (FaultyServer.nowMicros() >= nextAt) {
          nextAt = FaultyServer.nowMicros() + 1000L * (10 + chance.nextInt(70));
        }
      }
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private synchronized void turn(boolean asks) throws InterruptedException {
    for (Connection connection : List.copyOf(connections)) {
      hear(connection);
    }
    endSessions();
    if (handOver) {
      handOver = false;
      handOverStanding();
    }
    int count = (asks ? 1 : 0) + burst;
    burst = 0;
    for (int i = 0; i < count; i++) {
      ask();
    }
    if (asks && chance.nextInt(12) == 0) {
      beBad();
    }
  }

  /* ---- asking ---- */

  private void ask() throws InterruptedException {
    long[] deadlines = {terms.deadlineMs(), terms.deadlineMs(), terms.deadlineMs() / 2};
    SoakRequest request =
        new SoakRequest(
            nextId++,
            chance.nextInt(4) == 0,
            front.number,
            deadlines[chance.nextInt(deadlines.length)]);
    requests.put(request.id, request);
    send(request, chance.nextInt(4) > 0);
  }

  private void send(SoakRequest request, boolean onOpenOne) throws InterruptedException {
    Connection by = onOpenOne && !connections.isEmpty() ? any() : connect();
    if (by == null) {
      request.notTaken = true;
      return;
    }
    byte[] message =
        PlatformViewers.setUp(request.id, request.paid ? "paid" : "lesson", request.deadlineMs, "");
    try {
      int first = chance.nextInt(8) == 0 ? 1 + chance.nextInt(message.length - 1) : message.length;
      by.socket.send(java.util.Arrays.copyOf(message, first));
      if (first < message.length) {
        Thread.sleep(1 + chance.nextInt(4));
        by.socket.send(java.util.Arrays.copyOfRange(message, first, message.length));
      }
      request.sentAt = FaultyServer.nowMicros();
      by.waiting.put(request.id, request);
      afterSending(by, request);
    } catch (IOException e) {
      request.sentAt = FaultyServer.nowMicros();
      by.waiting.put(request.id, request);
      ended(by);
    }
  }

  /** Some leave at once: by an end right behind it, or by closing the connection. */
  private void afterSending(Connection by, SoakRequest request) throws IOException {
    int how = chance.nextInt(40);
    if (how == 0) {
      giveUp(by, request);
    } else if (how == 1) {
      closeByClient(by);
    }
  }

  private Connection any() {
    return connections.get(chance.nextInt(connections.size()));
  }

  private Connection connect() {
    if (connections.size() >= MOST_CONNECTIONS) {
      return any();
    }
    try {
      Connection anew = new Connection();
      connections.add(anew);
      return anew;
    } catch (ConnectException e) {
      return null; // nobody listens
    } catch (IOException e) {
      return null;
    }
  }

  private void giveUp(Connection by, SoakRequest request) throws IOException {
    by.socket.end(request.id, GIVE_UP);
    request.gaveUpAt = FaultyServer.nowMicros();
    by.waiting.remove(request.id);
  }

  private void closeByClient(Connection by) throws IOException {
    connections.remove(by);
    for (SoakRequest request : by.waiting.values()) {
      request.gaveUpAt = FaultyServer.nowMicros();
      request.leftByClose = true;
    }
    by.socket.close();
  }

  /* ---- hearing ---- */

  private void hear(Connection by) throws InterruptedException {
    for (FrontMessage said = by.socket.next(0); said != null; said = by.socket.next(0)) {
      if (said == FrontMessage.CLOSED) {
        ended(by);
        return;
      }
      SoakRequest request = requests.get(said.id());
      if (request != null) {
        hear(request, said);
        by.waiting.remove(said.id());
      }
    }
    long now = FaultyServer.nowMicros();
    for (SoakRequest request : List.copyOf(by.waiting.values())) {
      if (now - request.sentAt > 1000 * request.deadlineMs / 4 && chance.nextInt(2000) == 0) {
        try {
          giveUp(by, request);
        } catch (IOException e) {
          ended(by);
          return;
        }
      }
    }
  }

  private void hear(SoakRequest request, FrontMessage said) {
    long now = FaultyServer.nowMicros();
    if (said.type() == ANSWERED) {
      answered(request, said, now);
    } else if (said.type() == RELEASED || said.type() == MOVED) {
      if (request.answers.contains("answered")) {
        request.releasedAt = Math.min(request.releasedAt, now);
      } else {
        settle(request, REFUSALS.contains(said.cause()) ? "refused" : "failed", now);
      }
    }
  }

  private void answered(SoakRequest request, FrontMessage said, long now) {
    settle(request, "answered", now);
    String made = "m=audio of " + request.id + "\r\nat ";
    if (said.description() == null || !said.description().startsWith(made)) {
      request.wrong = "answered with what no server made for it: " + said.description();
    } else {
      request.server = said.description().substring(made.length()).strip();
      request.standsUntil = now + 1000L * (200 + chance.nextInt(3000));
    }
  }

  private static void settle(SoakRequest request, String how, long now) {
    request.answers.add(how);
    request.answeredAt = Math.min(request.answeredAt, now);
  }

  /** The connection has ended from the other side; what crossed its end is sent again, once. */
  private void ended(Connection by) throws InterruptedException {
    connections.remove(by);
    try {
      by.socket.close();
    } catch (IOException e) {
      // closed already
    }
    long now = FaultyServer.nowMicros();
    for (SoakRequest request : List.copyOf(by.waiting.values())) {
      if (now - request.sentAt <= CROSSING_MICROS && !request.sentAgain) {
        request.sentAgain = true;
        send(request, false);
      } else {
        request.cutAt = now;
      }
    }
  }

  /* ---- sessions ---- */

  private void endSessions() {
    long now = FaultyServer.nowMicros();
    for (SoakRequest request : requests.values()) {
      if (request.stands() && request.standsUntil < now && !connections.isEmpty()) {
        Connection by = any();
        try {
          by.socket.end(request.id, GIVE_UP);
          request.endedByClientAt = now;
          if (chance.nextInt(25) == 0) {
            closeByClient(by); // right behind what it wrote
          }
        } catch (IOException e) {
          return; // told again with the next turn
        }
      }
    }
  }

  private void handOverStanding() {
    Connection by = connect();
    for (SoakRequest request : requests.values()) {
      if (by != null && request.stands()) {
        try {
          by.socket.send(
              PlatformViewers.setUp(
                  request.id, request.paid ? "paid" : "lesson", 0, ";at:" + request.server));
        } catch (IOException e) {
          return;
        }
      }
    }
  }

  /* ---- bad clients ---- */

  private void beBad() {
    try {
      PlatformViewers socket = new PlatformViewers(front.port);
      bad.add(socket);
      if (bad.size() > 10) {
        bad.remove(0).close();
      }
      byte[] noise = new byte[chance.nextInt(BAD_BYTES) + 1];
      switch (chance.nextInt(5)) {
        case 0 -> {
          for (int i = 0; i < noise.length; i++) {
            noise[i] = (byte) chance.nextInt(256);
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
          // connects and says nothing
        }
      }
    } catch (IOException e) {
      // closed on it, as it should be
    }
  }
}
