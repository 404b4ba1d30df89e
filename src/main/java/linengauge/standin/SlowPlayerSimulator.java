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
 * Stand-in players that are slow, each in its own way, on plain sockets with small receive buffers
 * and one thread: HTTP/1.1 as RFC 9112 has it, as far as a front's answers need. What each was
 * asked and answered goes to the tap as for any player.
 */
public final class SlowPlayerSimulator implements AutoCloseable {
  private static final int TICK_MS = 20;
  private static final int RECEIVE_BYTES = 8192;
  private static final Pattern LENGTH = Pattern.compile("(?i)\r\nContent-Length: *([0-9]+)");
  private static final Pattern VIEWING = Pattern.compile("/v/([A-Za-z0-9-]+)/media\\.m3u8");

  /** How a player is slow. The last two are honest and are to be served. */
  public enum SlowMode {
    /** Asks for a segment and reads one byte a second of it. */
    BYTE_A_SECOND(1),
    /** Sends one byte of its request's headers a second. */
    HEADER_A_SECOND(0),
    /** Reads its playlists and asks for nothing more. */
    NEVER_AGAIN(1e9),
    /** Reads at a third of the lowest rung's rate. */
    THIRD(10_000),
    /** Stops for three seconds in the middle of every second segment. */
    PAUSES(400_000),
    /** Reads at the lowest rung's rate, whatever rung it is sent. */
    WEAK(30_000);

    private final double bytesPerSecond;

    SlowMode(double bytesPerSecond) {
      this.bytesPerSecond = bytesPerSecond;
    }

    public boolean isHonest() {
      return this == PAUSES || this == WEAK;
    }
  }

  /**
   * What became of one player so far: its viewing or null, since when it has been slow and when its
   * connection ended in microseconds of the tap, -1: not (yet). One that does not read hears of its
   * end late; its box hears in time.
   */
  public record PlayerOutcome(
      SlowMode mode, String viewing, long slowSince, long endedAt, int segments, long bytes) {}

  private final String host;
  private final int port;
  private final int front;
  private final String pack;
  private final List<String> titles;
  private final Tap tap;
  private final List<Member> members = new ArrayList<>();
  private final List<Member> coming = new ArrayList<>();
  private final ByteBuffer buffer = ByteBuffer.allocateDirect(65_536);
  private final Thread thread = new Thread(this::run, "slow players");
  private volatile boolean closing;
  private int number;

  public SlowPlayerSimulator(
      String host, int port, int front, String pack, List<String> titles, Tap tap) {
    this.host = host;
    this.port = port;
    this.front = front;
    this.pack = pack;
    this.titles = List.copyOf(titles);
    this.tap = tap;
    thread.setDaemon(true);
    thread.start();
  }

  /** So many come in this way, evenly over a span. */
  public synchronized void schedulePlayers(SlowMode way, int count, long overMs) {
    long now = tap.elapsedMicros();
    for (int i = 0; i < count; i++) {
      coming.add(new Member(way, number++, now + 1000 * overMs * i / count));
    }
  }

  public synchronized List<PlayerOutcome> outcomes() {
    return members.stream().map(Member::fate).toList();
  }

  private synchronized List<Member> present() {
    long now = tap.elapsedMicros();
    coming.removeIf(m -> m.comesAt <= now && members.add(m));
    return new ArrayList<>(members);
  }

  private void run() {
    while (!closing) {
      long from = System.nanoTime();
      for (Member m : present()) {
        m.step();
      }
      long left = TICK_MS - (System.nanoTime() - from) / 1_000_000;
      try {
        Thread.sleep(Math.max(1, left));
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
    for (Member m : present()) {
      m.end(false);
    }
  }

  private final class Member {
    private final SlowMode way;
    private final String key;
    private final String title;
    private final long comesAt;
    private SocketChannel channel;
    private long steppedAt;
    private double credit;
    private String ask;
    private int tries;
    private String head = "";
    private String body = "";
    private boolean inBody;
    private long left;
    private long whole;
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
    private int dripped;

    private Member(SlowMode way, int number, long comesAt) {
      this.way = way;
      this.key = "s" + number;
      this.title = titles.get(number % titles.size());
      this.comesAt = comesAt;
    }

    private synchronized PlayerOutcome fate() {
      return new PlayerOutcome(way, viewing, slowSince, endedAt, segments, bytes);
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
        if (way == SlowMode.HEADER_A_SECOND) {
          drip(now);
        }
        read(now);
      } catch (IOException e) {
        broke();
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
      if (way == SlowMode.HEADER_A_SECOND) {
        slowSince = now;
        return;
      }
      ask = key + "-" + tries++;
      tap.recordEvent(
          "asked",
          "ask",
          ask,
          "front",
          front,
          "key",
          key,
          "title",
          title,
          "package",
          pack,
          "ceiling",
          2,
          "patienceMs",
          3000);
      request(
          "/titles/"
              + title
              + "/main.m3u8?package="
              + pack
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
      ByteBuffer b = ByteBuffer.wrap(text.getBytes(StandardCharsets.US_ASCII));
      while (b.hasRemaining()) {
        channel.write(b); // a request is far smaller than the socket's buffer
      }
    }

    private void drip(long now) throws IOException {
      if (now - slowSince >= 1_000_000L * dripped) {
        String line = "GET /titles/" + title + "/main.m3u8 HTTP/1.1\r\nHost: x\r\nX: ";
        write(dripped < line.length() ? line.substring(dripped, dripped + 1) : "y");
        dripped++;
      }
    }

    private boolean isSegment() {
      return firstSegment != null;
    }

    private void read(long now) throws IOException {
      double rate = isSegment() ? way.bytesPerSecond : 1e9;
      if (isAtItsPause()) {
        hasPaused = true;
        pausedUntil = now + 3_000_000;
      }
      if (now < pausedUntil) {
        credit = 0;
        return;
      }
      credit = Math.min(credit + rate * (now - steppedAt) / 1e6, Math.max(1, rate / 4));
      while (credit >= 1) {
        int n = readOnce();
        if (n < 0) {
          broke();
          return;
        }
        if (n == 0) {
          return;
        }
        if (inBody && left == 0) {
          answered(now);
          return;
        }
      }
    }

    /** Half way through every other segment. */
    private boolean isAtItsPause() {
      return isSegment()
          && way == SlowMode.PAUSES
          && segments % 2 == 1
          && inBody
          && left < whole / 2
          && !hasPaused;
    }

    /** Reads what its credit allows: one byte of a head, or more of a body. */
    private int readOnce() throws IOException {
      long most = inBody ? Math.min(left, (long) credit) : 1;
      buffer.clear().limit((int) Math.min(buffer.capacity(), most));
      int n = channel.read(buffer);
      if (n > 0) {
        credit -= n;
        bytes += n;
        buffer.flip();
        take(n);
      }
      return n;
    }

    private void take(int n) {
      if (inBody) {
        left -= n;
        if (!isSegment()) {
          body += StandardCharsets.US_ASCII.decode(buffer);
        }
        return;
      }
      head += (char) buffer.get();
      if (head.endsWith("\r\n\r\n")) {
        status = Integer.parseInt(head.substring(9, 12));
        Matcher m = LENGTH.matcher(head);
        left = m.find() ? Long.parseLong(m.group(1)) : 0;
        whole = left;
        inBody = true;
      }
    }

    private void answered(long now) throws IOException {
      if (viewing == null) {
        joined(now);
      } else if (status != 200) {
        broke();
      } else if (firstSegment == null) {
        firstSegment =
            body.lines()
                .filter(l -> l.startsWith("/v/"))
                .findFirst()
                .orElseThrow(() -> new IOException("no segment"));
        if (way == SlowMode.NEVER_AGAIN) {
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

    private void joined(long now) throws IOException {
      Matcher m = VIEWING.matcher(body);
      boolean plays = status == 200 && m.find();
      tap.recordEvent(
          "answered",
          "ask",
          ask,
          "front",
          front,
          "how",
          plays
              ? "plays"
              : status == 503 ? "blocked" : status == 502 || status == 504 ? "aborted" : "unclear",
          "status",
          status,
          "viewing",
          plays ? m.group(1) : null);
      ask = null;
      if (plays) {
        viewing = m.group(1);
        request("/v/" + viewing + "/media.m3u8");
      } else if (tries < 5) {
        channel.close();
        channel = null;
        retryAt = now + 1_000_000;
      } else {
        end(true);
      }
    }

    private void broke() {
      if (ask != null) {
        tap.recordEvent("broke", "ask", ask, "front", front);
        ask = null;
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
          endedAt = tap.elapsedMicros(); // closed in any case
        }
      }
    }

    @Override
    public String toString() {
      return String.format(Locale.ROOT, "%s %s", way, key);
    }
  }
}
