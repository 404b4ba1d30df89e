package review;

import java.io.BufferedInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A media server: answers set-ups, plays sessions for a time, and tells their ends as the protocol
 * page says: on the connection of the set-up while that is open, else on any open one, and once
 * more on the next connection opened. Its machine can vanish and come back with a new process.
 */
final class Server implements AutoCloseable {
  private static final int BACKLOG = 4;

  /** What became of a session at its server. */
  interface Observer {
    default void attempt(Server server, String id, String title) {}

    default void started(Server server, String id) {}

    /** The session is over at the server: it has ended, or it was cut. */
    default void over(Server server, String id, String why) {}
  }

  private final class Connection {
    final Socket socket;
    boolean open = true;

    Connection(Socket socket) {
      this.socket = socket;
    }

    void write(String line) {
      synchronized (Server.this) {
        if (!open || down) {
          return;
        }
        try {
          socket.getOutputStream().write((line + "\n").getBytes(StandardCharsets.UTF_8));
        } catch (IOException e) {
          open = false;
        }
      }
    }
  }

  private static final class Playing {
    final Connection connection;
    final int process;

    Playing(Connection connection, int process) {
      this.connection = connection;
      this.process = process;
    }
  }

  final long id;
  final String name;
  final int port;
  final int cell;
  final long answerMs;
  final long lengthMs;
  private final Bench bench;
  private final Observer observer;
  private final ServerSocket listener;
  private final List<Connection> connections = new ArrayList<>();
  private final Map<String, Connection> attempts = new HashMap<>();
  private final Map<String, Playing> playing = new LinkedHashMap<>();
  private final List<String> toldOnNext = new ArrayList<>();
  private final List<Socket> fillers = new ArrayList<>();
  private boolean down;
  private int process = 1;

  /** Titles that it does not hold are answered with an error; null: it holds all. */
  java.util.function.Predicate<String> holds = title -> true;

  /** Whether it closes connections that rest this long; 0: never. */
  volatile long idleCloseMs;

  Server(Bench bench, long id, int cell, long answerMs, long lengthMs, Observer observer) throws IOException {
    this.bench = bench;
    this.id = id;
    this.name = String.format("s-%08x", id);
    this.cell = cell;
    this.answerMs = answerMs;
    this.lengthMs = lengthMs;
    this.observer = observer;
    listener = new ServerSocket(0, BACKLOG, InetAddress.getByName("127.0.0.1"));
    port = listener.getLocalPort();
    Thread thread = new Thread(null, this::accept, "server", 256 * 1024);
    thread.setDaemon(true);
    thread.start();
  }

  private void accept() {
    try {
      while (true) {
        synchronized (this) {
          while (down) {
            wait();
          }
        }
        listener.setSoTimeout(50);
        Socket socket;
        try {
          socket = listener.accept();
        } catch (java.net.SocketTimeoutException e) {
          continue;
        }
        synchronized (this) {
          if (down || fillers.stream().anyMatch(filler -> filler.getLocalPort() == socket.getPort())) {
            socket.setSoLinger(true, 0);
            socket.close();
            continue;
          }
          socket.setTcpNoDelay(true);
          Connection connection = new Connection(socket);
          connections.add(connection);
          bench.log("%s: connection opened", name);
          for (String line : toldOnNext) {
            connection.write(line);
          }
          toldOnNext.clear();
          Thread thread = new Thread(null, () -> read(connection), "server connection", 256 * 1024);
          thread.setDaemon(true);
          thread.start();
        }
      }
    } catch (IOException | InterruptedException e) {
      // closed
    }
  }

  private void read(Connection connection) {
    try {
      InputStream in = new BufferedInputStream(connection.socket.getInputStream());
      ByteArrayOutputStream line = new ByteArrayOutputStream();
      while (true) {
        if (idleCloseMs > 0) {
          connection.socket.setSoTimeout((int) idleCloseMs);
        }
        int next = in.read();
        if (next < 0) {
          break;
        }
        synchronized (this) {
          while (down && connection.open) {
            wait();
          }
          if (!connection.open) {
            return;
          }
        }
        if (next == '\n') {
          handle(connection, line.toString(StandardCharsets.UTF_8));
          line.reset();
        } else {
          line.write(next);
        }
      }
    } catch (java.net.SocketTimeoutException e) {
      bench.log("%s: idle connection closed by the server", name);
    } catch (IOException | InterruptedException e) {
      // reset
    }
    synchronized (this) {
      connection.open = false;
      connections.remove(connection);
      attempts.values().removeIf(open -> open == connection);
      try {
        connection.socket.close();
      } catch (IOException e) {
        // closed
      }
    }
  }

  private static String field(String line, String key) {
    Matcher field = Pattern.compile("\"" + key + "\":\"?((?:[^\"\\\\,}]|\\\\.)*)").matcher(line);
    return field.find() ? field.group(1) : "";
  }

  private void handle(Connection connection, String line) {
    String tag = field(line, "tag");
    switch (field(line, "verb")) {
      case "START" -> start(connection, tag, field(line, "key"), line);
      case "FINISH" -> finish(connection, tag);
      case "ECHO" -> connection.write("{\"verb\":\"ECHOED\",\"tag\":\"" + tag + "\",\"opts\":{"
          + (field(line, "rc").equals("0") ? "" : "\"load\":\"" + load() + "\"") + "},\"rc\":1}");
      case "RATE" -> connection.write("{\"verb\":\"NOTICE\",\"tag\":\"" + tag
          + "\",\"opts\":{\"note\":\"level\",\"value\":" + field(line, "rung") + "}}");
      default -> {}
    }
  }

  private synchronized String load() {
    double asked = Math.min(1, playing.size() / 30.0);
    return String.format(java.util.Locale.ROOT, "outstanding:%d;x0:%.2f;x1:%.2f", playing.size(), asked, asked);
  }

  private void start(Connection connection, String tag, String title, String line) {
    bench.log("%s: START %s title %s rung %s", name, tag, title, field(line, "rung"));
    observer.attempt(this, tag, title);
    if (!holds.test(title)) {
      bench.log("%s: error for %s, title not held", name, tag);
      connection.write("{\"verb\":\"FINISH\",\"tag\":\"" + tag + "\",\"opts\":{},\"rc\":47}");
      return;
    }
    synchronized (this) {
      attempts.put(tag, connection);
    }
    int life = process;
    bench.after(answerMs, () -> {
      synchronized (this) {
        if (down || life != process || attempts.get(tag) != connection || !connection.open) {
          return;
        }
        attempts.remove(tag);
        playing.put(tag, new Playing(connection, life));
      }
      bench.log("%s: STARTED %s", name, tag);
      observer.started(this, tag);
      connection.write("{\"verb\":\"STARTED\",\"tag\":\"" + tag + "\",\"opts\":{},\"blob\":\"" + answerOf(tag) + "\"}");
      bench.after(lengthMs, () -> end(tag));
    });
  }

  String answerOf(String tag) {
    return "plays " + tag + " at " + name;
  }

  /** The session has come to its end. */
  private synchronized void end(String tag) {
    Playing ended = playing.remove(tag);
    if (ended == null) {
      return;
    }
    observer.over(this, tag, "ended");
    String line = "{\"verb\":\"FINISH\",\"tag\":\"" + tag + "\",\"opts\":{},\"rc\":16}";
    Connection on = ended.connection.open ? ended.connection : connections.isEmpty() ? null : connections.get(0);
    bench.log("%s: FINISH 16 %s, %s", name, tag, on == null ? "no connection is open" : on == ended.connection
        ? "on its connection" : "on another connection");
    if (on != null) {
      on.write(line);
    }
    toldOnNext.add(line);
  }

  private synchronized void finish(Connection connection, String tag) {
    if (playing.remove(tag) != null) {
      bench.log("%s: the front ends %s", name, tag);
      observer.over(this, tag, "ended by the front");
    } else if (attempts.remove(tag) != null) {
      bench.log("%s: the front gives %s up", name, tag);
    }
    connection.write("{\"verb\":\"FINISHED\",\"tag\":\"" + tag + "\",\"opts\":{}}");
  }

  synchronized int playingCount() {
    return playing.size();
  }

  synchronized List<String> playingIds() {
    return new ArrayList<>(playing.keySet());
  }

  synchronized int connectionCount() {
    return connections.size();
  }

  /**
   * The machine vanishes: open connections stay open and silent, new ones never come up, and what
   * it played is over.
   */
  void vanish() throws Exception {
    List<String> cut;
    synchronized (this) {
      down = true;
      cut = new ArrayList<>(playing.keySet());
      playing.clear();
      attempts.clear();
      toldOnNext.clear();
    }
    bench.log("%s: vanishes, %d sessions are cut", name, cut.size());
    for (String tag : cut) {
      observer.over(this, tag, "cut");
    }
    Thread.sleep(60); // the accepting thread has stopped
    for (int i = 0; i < BACKLOG + 3; i++) {
      Socket filler = new Socket();
      synchronized (this) {
        fillers.add(filler);
      }
      try {
        filler.connect(new InetSocketAddress("127.0.0.1", port), 60);
      } catch (java.net.SocketTimeoutException e) {
        break; // the queue is full: no connection comes up any more
      }
    }
  }

  /** The machine is back with a new process, which knows nothing of what was; old connections are reset. */
  void returnCold() throws IOException {
    synchronized (this) {
      process++;
      for (Connection connection : connections) {
        connection.open = false;
        connection.socket.setSoLinger(true, 0);
        connection.socket.close();
      }
      connections.clear();
      down = false;
      notifyAll();
    }
    bench.log("%s: is back with a new process, cold", name);
  }

  @Override
  public void close() throws IOException {
    listener.close();
    synchronized (this) {
      for (Connection connection : connections) {
        connection.open = false;
        connection.socket.close();
      }
      for (Socket filler : fillers) {
        filler.close();
      }
      down = false;
      notifyAll();
    }
  }
}
