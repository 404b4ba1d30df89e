package linengauge.standin;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.StandardSocketOptions;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Simulates players that are slow in different ways, on plain sockets with small receive buffers
 * and one thread. It implements as much of HTTP/1.1 (RFC 9112) as the answers of a front need.
 * Requests and answers are recorded in the tap as for any player.
 */
public final class SlowPlayerSimulator implements AutoCloseable {
  private static final int TICK_MS = 20;
  private static final int RECEIVE_BYTES = 8192;
  private static final Pattern LENGTH = Pattern.compile("(?i)\r\nContent-Length: *([0-9]+)");
  private static final Pattern VIEWING = Pattern.compile("/v/([A-Za-z0-9-]+)/media\\.m3u8");

  /** How a player is slow. The last two are legitimate and must be served. */
  public enum SlowMode {
    /** Requests a segment and reads one byte of it a second. */
    BYTE_A_SECOND(1),
    /** Sends one byte of its request's headers a second. */
    HEADER_A_SECOND(0),
    /** Reads its playlists and requests nothing more. */
    NEVER_AGAIN(1e9),
    /** Reads at a third of the lowest rung's rate. */
    THIRD(10_000),
    /** Pauses for three seconds in the middle of every second segment. */
    PAUSES(400_000),
    /** Reads at the lowest rung's rate, whatever rung it is sent. */
    WEAK(30_000);

    private final double bytesPerSecond;

    SlowMode(double bytesPerSecond) {
      this.bytesPerSecond = bytesPerSecond;
    }

    public boolean isLegitimate() {
      return this == PAUSES || this == WEAK;
    }
  }

  /**
   * The state of one player so far: its viewing or null, and when it became slow and when its
   * connection ended, in microseconds of the tap (-1: not yet). A player that does not read detects
   * the end late; its box is informed in time.
   */
  public record PlayerOutcome(
      SlowMode mode, String viewing, long slowSince, long endedAt, int segments, long bytes) {}

  private final String host;
  private final int port;
  private final int front;
  private final String packageName;
  private final List<String> titles;
  private final Tap tap;
  private final List<Player> players = new ArrayList<>();
  private final List<Player> scheduled = new ArrayList<>();
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(65_536);
  private final Thread thread = new Thread(this::run, "slow players");
  private volatile boolean closing;
  private int nextPlayerNumber;

  public SlowPlayerSimulator(
      String host, int port, int front, String packageName, List<String> titles, Tap tap) {
    this.host = host;
    this.port = port;
    this.front = front;
    this.packageName = packageName;
    this.titles = List.copyOf(titles);
    this.tap = tap;
    thread.setDaemon(true);
    thread.start();
  }

  /** Schedules so many players of this mode, evenly over a span. */
  public synchronized void schedulePlayers(SlowMode mode, int count, long spanMs) {
    long now = tap.elapsedMicros();
    for (int i = 0; i < count; i++) {
      scheduled.add(new Player(mode, nextPlayerNumber++, now + 1000 * spanMs * i / count));
    }
  }

  public synchronized List<PlayerOutcome> outcomes() {
    return players.stream().map(Player::outcome).toList();
  }

  private synchronized List<Player> currentPlayers() {
    long now = tap.elapsedMicros();
    scheduled.removeIf(player -> player.arrivesAt <= now && players.add(player));
    return new ArrayList<>(players);
  }

  private void run() {
    while (!closing) {
      long startedAt = System.nanoTime();
      for (Player player : currentPlayers()) {
        player.step();
      }
      long leftMs = TICK_MS - (System.nanoTime() - startedAt) / 1_000_000;
      try {
        Thread.sleep(Math.max(1, leftMs));
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  @Override
  public void close() {
    closing = true;
    try {
      thread.join(5000);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    for (Player player : currentPlayers()) {
      player.end(false);
    }
  }

  private final class Player {
    private final SlowMode mode;
    private final String key;
    private final String title;
    private final long arrivesAt;
    private SocketChannel channel;
    private long steppedAt;
    private double byteCredit;
    private String requestId;
    private int attempts;
    private String head = "";
    private String body = "";
    private boolean inBody;
    private long bytesLeft;
    private long bodyLength;
    private int status;
    private String viewing;
    private String firstSegment;
    private long retryAt;
    private long slowSince = -1;
    private long endedAt = -1;
    private long pausedUntil;
    private boolean hasPaused;
    private int segments;
    private long bytes;
    private int headerBytesSent;

    private Player(SlowMode mode, int number, long arrivesAt) {
      this.mode = mode;
      this.key = "s" + number;
      this.title = titles.get(number % titles.size());
      this.arrivesAt = arrivesAt;
    }

    private synchronized PlayerOutcome outcome() {
      return new PlayerOutcome(mode, viewing, slowSince, endedAt, segments, bytes);
    }

    private synchronized void step() {
      if (endedAt >= 0) {
        return;
      }
      long now = tap.elapsedMicros();
      try {
        if (channel == null) {
          if (now >= retryAt) {
            open(now);
          }
          return;
        }
        if (mode == SlowMode.HEADER_A_SECOND) {
          sendHeaderByte(now);
        }
        read(now);
      } catch (IOException e) {
        onDisconnected();
      }
      steppedAt = now;
    }

    private void open(long now) throws IOException {
      channel = SocketChannel.open();
      channel.setOption(StandardSocketOptions.SO_RCVBUF, RECEIVE_BYTES);
      channel.setOption(StandardSocketOptions.TCP_NODELAY, true);
      channel.connect(new InetSocketAddress(host, port));
      channel.configureBlocking(false);
      steppedAt = now;
      if (mode == SlowMode.HEADER_A_SECOND) {
        slowSince = now;
        return;
      }
      requestId = key + "-" + attempts++;
      tap.recordEvent(
          "asked",
          "ask",
          requestId,
          "front",
          front,
          "key",
          key,
          "title",
          title,
          "package",
          packageName,
          "ceiling",
          2,
          "patienceMs",
          3000);
      request(
          "/titles/"
              + title
              + "/main.m3u8?package="
              + packageName
              + "&ceiling=2&patience=3000&key="
              + key);
    }

    private void request(String uri) throws IOException {
      head = "";
      body = "";
      inBody = false;
      write("GET " + uri + " HTTP/1.1\r\nHost: " + host + "\r\n\r\n");
    }

    private void write(String text) throws IOException {
      ByteBuffer data = ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
      while (data.hasRemaining()) {
        channel.write(
            data); // A request is far smaller than the send buffer, so this loop ends quickly.
      }
    }

    private void sendHeaderByte(long now) throws IOException {
      if (now - slowSince >= 1_000_000L * headerBytesSent) {
        String line = "GET /titles/" + title + "/main.m3u8 HTTP/1.1\r\nHost: x\r\nX: ";
        write(
            headerBytesSent < line.length()
                ? line.substring(headerBytesSent, headerBytesSent + 1)
                : "y");
        headerBytesSent++;
      }
    }

    private boolean isSegment() {
      return firstSegment != null;
    }

    private void read(long now) throws IOException {
      double rate = isSegment() ? mode.bytesPerSecond : 1e9;
      if (mustPause()) {
        hasPaused = true;
        pausedUntil = now + 3_000_000;
      }
      if (now < pausedUntil) {
        byteCredit = 0;
        return;
      }
      byteCredit = Math.min(byteCredit + rate * (now - steppedAt) / 1e6, Math.max(1, rate / 4));
      while (byteCredit >= 1) {
        int count = readOnce();
        if (count < 0) {
          onDisconnected();
          return;
        }
        if (count == 0) {
          return;
        }
        if (inBody && bytesLeft == 0) {
          onResponse(now);
          return;
        }
      }
    }

    /** Returns true half way through every other segment. */
    private boolean mustPause() {
      return isSegment()
          && mode == SlowMode.PAUSES
          && segments % 2 == 1
          && inBody
          && bytesLeft < bodyLength / 2
          && !hasPaused;
    }

    /** Reads as much as the byte credit allows: one byte of a head, or more of a body. */
    private int readOnce() throws IOException {
      long limit = inBody ? Math.min(bytesLeft, (long) byteCredit) : 1;
      buffer.clear().limit((int) Math.min(buffer.capacity(), limit));
      int count = channel.read(buffer);
      if (count > 0) {
        byteCredit -= count;
        bytes += count;
        buffer.flip();
        consume(count);
      }
      return count;
    }

    private void consume(int count) {
      if (inBody) {
        bytesLeft -= count;
        if (!isSegment()) {
          body += StandardCharsets.US_ASCII.decode(buffer);
        }
        return;
      }
      head += (char) buffer.get();
      if (head.endsWith("\r\n\r\n")) {
        status = Integer.parseInt(head.substring(9, 12));
        Matcher lengthMatch = LENGTH.matcher(head);
        bytesLeft = lengthMatch.find() ? Long.parseLong(lengthMatch.group(1)) : 0;
        bodyLength = bytesLeft;
        inBody = true;
      }
    }

    private void onResponse(long now) throws IOException {
      if (viewing == null) {
        onViewingAnswer(now);
      } else if (status != 200) {
        onDisconnected();
      } else if (firstSegment == null) {
        firstSegment =
            body.lines()
                .filter(l -> l.startsWith("/v/"))
                .findFirst()
                .orElseThrow(() -> new IOException("the playlist has no segment"));
        if (mode == SlowMode.NEVER_AGAIN) {
          slowSince = now;
          inBody = false;
          head = "";
          return;
        }
        slowSince = now;
        request(firstSegment);
      } else {
        segments++;
        hasPaused = false;
        request(firstSegment.replaceFirst("[0-9]+\\.ts$", segments % 100 + ".ts"));
      }
    }

    private void onViewingAnswer(long now) throws IOException {
      Matcher viewingMatch = VIEWING.matcher(body);
      boolean plays = status == 200 && viewingMatch.find();
      tap.recordEvent(
          "answered",
          "ask",
          requestId,
          "front",
          front,
          "how",
          plays
              ? "plays"
              : status == 503 ? "blocked" : status == 502 || status == 504 ? "aborted" : "unclear",
          "status",
          status,
          "viewing",
          plays ? viewingMatch.group(1) : null);
      requestId = null;
      if (plays) {
        viewing = viewingMatch.group(1);
        request("/v/" + viewing + "/media.m3u8");
      } else if (attempts < 5) {
        channel.close();
        channel = null;
        retryAt = now + 1_000_000;
      } else {
        end(true);
      }
    }

    private void onDisconnected() {
      if (requestId != null) {
        tap.recordEvent("broke", "ask", requestId, "front", front);
        requestId = null;
      } else if (viewing != null) {
        tap.recordEvent("play-broke", "viewing", viewing, "front", front, "status", status);
      }
      end(true);
    }

    private synchronized void end(boolean byFront) {
      if (endedAt < 0) {
        endedAt = tap.elapsedMicros();
        if (!byFront && viewing != null) {
          tap.recordEvent("left", "viewing", viewing, "front", front);
        }
        try {
          if (channel != null) {
            channel.close();
          }
        } catch (IOException e) {
          endedAt = tap.elapsedMicros(); // The channel counts as closed in any case.
        }
      }
    }

    @Override
    public String toString() {
      return String.format(Locale.ROOT, "%s %s", mode, key);
    }
  }
}
