package linengauge.standin;

import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.HdrHistogram.Histogram;

/**
 * Stand-in players: they come on schedule whether or not earlier ones were answered, wait as long
 * as their patience, play segment by segment, leave, and come again with their key after a break or
 * a block. All on one event loop.
 */
public final class PlayerSimulator {
  private static final Pattern VIEWING = Pattern.compile("/v/([A-Za-z0-9-]+)/media\\.m3u8");
  private static final Pattern OWN = Pattern.compile("http://([^:/]+):([0-9]+)/v/");

  /** How long after its patience a player still listens, so that a late answer is seen. */
  private static final int LISTENS_ON_MS = 400;

  /** One package as viewers see it. Shares sum to 1; spans in milliseconds. */
  public record PlayerProfile(
      String pack, double share, int timeLimitMs, int latencyObjectiveMs, double value) {}

  /** Figures of a day. */
  public static final class Figures {
    public int asked;
    public int played;
    public int rejected;
    public int failed;
    public int notReached;
    public int retried;
    public int unanswered;
    public int disconnected;
    public int stalled;
    public int segments;
    public long bytes;
    public double valueRequested;
    public double valueOnTime;
    public final Histogram joinMicros = new Histogram(60_000_000L, 3);
  }

  /**
   * Where a front takes viewers, and its building. A front under 0: a shared address, of which the
   * LAN says who took what.
   */
  public record FrontEndpoint(int front, String host, int port, String building) {}

  private final Vertx vertx;
  private final HttpClient client;
  private final Tap tap;
  private final List<FrontEndpoint> doors;
  private final List<PlayerProfile> wants;
  private final List<String> titles;
  private final double[] titleWeights;
  private final SplittableRandom chance;
  private final Figures figures = new Figures();
  private final int ceilingRungs;
  private final int shortestMs;
  private final int longestMs;
  private final String keys;
  private final HttpClient once;
  private SharedLan lan;

  /** When requests were answered that they play, microseconds of the tap. */
  private final List<Long> playedAt = new ArrayList<>();

  private String hotTitle;
  private double hotShare;
  private int activePlayers;
  private int number;
  private boolean closing;

  public PlayerSimulator(
      Vertx vertx,
      List<FrontEndpoint> doors,
      List<PlayerProfile> wants,
      List<String> titles,
      int rungs,
      int shortestMs,
      int longestMs,
      long seed,
      Tap tap) {
    this(vertx, doors, wants, titles, rungs, shortestMs, longestMs, seed, tap, "k");
  }

  /**
   * Where several crowds share a record, each names its viewers' keys by a beginning of its own.
   */
  public PlayerSimulator(
      Vertx vertx,
      List<FrontEndpoint> doors,
      List<PlayerProfile> wants,
      List<String> titles,
      int rungs,
      int shortestMs,
      int longestMs,
      long seed,
      Tap tap,
      String keys) {
    this.keys = keys;
    this.vertx = vertx;
    this.doors = List.copyOf(doors);
    this.wants = List.copyOf(wants);
    this.titles = List.copyOf(titles);
    this.ceilingRungs = rungs;
    this.shortestMs = shortestMs;
    this.longestMs = longestMs;
    this.tap = tap;
    this.chance = new SplittableRandom(seed);
    this.titleWeights = new double[titles.size()];
    for (int i = 0; i < titleWeights.length; i++) {
      titleWeights[i] = 1 / Math.pow(i + 1, 0.8);
    }
    this.client =
        client(
            new HttpClientOptions().setConnectTimeout(1000).setKeepAliveTimeout(10),
            new PoolOptions().setHttp1MaxSize(4000).setMaxWaitQueueSize(20_000));
    this.once =
        client(
            new HttpClientOptions().setConnectTimeout(1000).setKeepAlive(false),
            new PoolOptions().setHttp1MaxSize(4000).setMaxWaitQueueSize(20_000));
  }

  private synchronized void played(long at) {
    playedAt.add(at);
  }

  /**
   * Connections that break are seen by their requests; the library would log those between requests
   * too.
   */
  private HttpClient client(HttpClientOptions options, PoolOptions pool) {
    return vertx
        .httpClientBuilder()
        .with(options)
        .with(pool)
        .withConnectHandler(c -> c.exceptionHandler(e -> {}))
        .build();
  }

  /** Doors of shared addresses lead through this LAN. */
  public void setLan(SharedLan through) {
    lan = through;
  }

  /**
   * The longest span without an answer that plays, among those that touch a span; microseconds of
   * the tap.
   */
  public synchronized long longestGapMicros(long from, long to) {
    long last = from;
    long most = 0;
    for (long at : playedAt) {
      if (at >= from) {
        most = last <= to ? Math.max(most, at - last) : most;
        last = at;
      }
    }
    return last <= to ? Math.max(most, to - last) : most;
  }

  public Figures figures() {
    return figures;
  }

  /** Viewers that wait, play or think of coming again. */
  public int activePlayers() {
    return activePlayers;
  }

  /** A title that many come for. */
  public void setHotTitle(String title, double share) {
    hotTitle = title;
    hotShare = share;
  }

  /** Nobody comes again after this, and those that play leave at their next segment. */
  public void close() {
    closing = true;
  }

  public boolean isClosing() {
    return closing;
  }

  /** One viewer comes. */
  public void arrive() {
    double draw = chance.nextDouble();
    PlayerProfile want = wants.get(wants.size() - 1);
    for (PlayerProfile w : wants) {
      draw -= w.share;
      if (draw < 0) {
        want = w;
        break;
      }
    }
    String title = hotTitle != null && chance.nextDouble() < hotShare ? hotTitle : title();
    int ceiling = chance.nextDouble() < 0.25 ? Math.max(1, ceilingRungs - 2) : ceilingRungs - 1;
    int length = shortestMs + chance.nextInt(Math.max(1, longestMs - shortestMs));
    activePlayers++;
    new Player(keys + number++, want, title, ceiling, length).ask();
  }

  private String title() {
    double all = 0;
    for (double w : titleWeights) {
      all += w;
    }
    double draw = chance.nextDouble() * all;
    for (int i = 0; i < titleWeights.length; i++) {
      draw -= titleWeights[i];
      if (draw < 0) {
        return titles.get(i);
      }
    }
    return titles.get(0);
  }

  private final class Player {
    private final String key;
    private final PlayerProfile want;
    private final String title;
    private final int ceiling;
    private final String building;
    private final boolean patientWithAdvice = chance.nextDouble() < 0.6;
    private double leftMs;
    private FrontEndpoint door;
    private int tries;
    private String viewing;
    private int failed;

    private Player(String key, PlayerProfile want, String title, int ceiling, int lengthMs) {
      this.key = key;
      this.want = want;
      this.title = title;
      this.ceiling = ceiling;
      this.leftMs = lengthMs;
      this.building = doors.get(chance.nextInt(doors.size())).building;
      figures.valueRequested += want.value;
    }

    private RequestOptions to(HttpMethod method, String uri) {
      return new RequestOptions()
          .setMethod(method)
          .setHost(door.host)
          .setPort(door.port)
          .setURI(uri);
    }

    private void gone() {
      activePlayers--;
    }

    private void ask() {
      List<FrontEndpoint> near = new ArrayList<>(doors);
      near.removeIf(d -> !d.building.equals(building));
      door = near.get(chance.nextInt(near.size()));
      String id = key + "-" + tries++;
      long at = tap.elapsedMicros();
      figures.asked++;
      boolean[] over = {false};
      HttpClientRequest[] sent = {null};
      long timer = vertx.setTimer(want.timeLimitMs + LISTENS_ON_MS, t -> giveUp(id, over, sent));
      boolean shared = door.front < 0;
      RequestOptions to = to(HttpMethod.GET, askUri());
      if (shared) {
        to.putHeader("X-Ask", id);
      }
      (shared ? once : client)
          .request(to)
          .onComplete(
              r -> {
                if (over[0]) {
                  if (r.succeeded()) {
                    r.result().reset();
                  }
                  return;
                }
                if (r.failed()) {
                  over[0] = true;
                  vertx.cancelTimer(timer);
                  notReached(id);
                  return;
                }
                sent[0] = r.result();
                if (!shared) {
                  sawAsked(id);
                }
                send(id, at, r.result(), over, timer);
              });
    }

    /** Its patience is over, and a while more. */
    private void giveUp(String id, boolean[] over, HttpClientRequest[] sent) {
      if (over[0]) {
        return;
      }
      over[0] = true;
      if (reached(id)) {
        figures.unanswered++;
        tap.recordEvent("gave-up", "ask", id, "front", door.front);
      }
      if (sent[0] != null) {
        sent[0].reset();
      }
      again(0);
    }

    private void notReached(String id) {
      figures.notReached++;
      tap.recordEvent("not-reached", "ask", id, "front", door.front);
      again(0);
    }

    private String askUri() {
      return "/titles/"
          + title
          + "/main.m3u8?package="
          + want.pack
          + "&ceiling="
          + ceiling
          + "&patience="
          + want.timeLimitMs
          + "&key="
          + key;
    }

    private void sawAsked(String id) {
      tap.recordEvent(
          "asked",
          "ask",
          id,
          "front",
          door.front,
          "key",
          key,
          "title",
          title,
          "package",
          want.pack,
          "ceiling",
          ceiling,
          "patienceMs",
          want.timeLimitMs);
    }

    private void send(String id, long at, HttpClientRequest request, boolean[] over, long timer) {
      request
          .send()
          .onComplete(
              a -> {
                if (over[0]) {
                  return;
                }
                if (a.failed()) {
                  over[0] = true;
                  vertx.cancelTimer(timer);
                  broke(id);
                } else {
                  a.result()
                      .exceptionHandler(
                          e -> {
                            if (!over[0]) {
                              over[0] = true;
                              vertx.cancelTimer(timer);
                              broke(id);
                            }
                          });
                  a.result()
                      .body()
                      .onSuccess(
                          b -> {
                            if (!over[0]) {
                              over[0] = true;
                              vertx.cancelTimer(timer);
                              answered(id, at, a.result(), b);
                            }
                          });
                }
              });
    }

    /** By a shared address: the front that the LAN handed it to, or none. */
    private boolean reached(String id) {
      if (door.front >= 0) {
        return true;
      }
      Integer by = lan.receivingNode(id);
      if (by == null) {
        figures.notReached++;
        tap.recordEvent("not-reached", "ask", id, "front", -1);
        return false;
      }
      door = new FrontEndpoint(by, door.host, door.port, door.building);
      return true;
    }

    private void broke(String id) {
      if (reached(id)) {
        figures.disconnected++;
        tap.recordEvent("broke", "ask", id, "front", door.front);
      }
      again(0);
    }

    private void answered(String id, long askedAt, HttpClientResponse r, Buffer body) {
      long micros = tap.elapsedMicros() - askedAt;
      reached(id);
      Matcher m = VIEWING.matcher(body.toString());
      boolean plays = r.statusCode() == 200 && m.find();
      String how =
          plays
              ? "plays"
              : switch (r.statusCode()) {
                case 503 -> "blocked";
                case 502, 504 -> "aborted";
                default -> "unclear";
              };
      tap.recordEvent(
          "answered",
          "ask",
          id,
          "front",
          door.front,
          "how",
          how,
          "status",
          r.statusCode(),
          "viewing",
          plays ? m.group(1) : null);
      if (plays) {
        figures.played++;
        figures.joinMicros.recordValue(Math.min(micros, 59_000_000L));
        if (tries == 1 && micros <= 1000L * want.latencyObjectiveMs) {
          figures.valueOnTime += want.value;
        }
        viewing = m.group(1);
        played(tap.elapsedMicros());
        Matcher own = OWN.matcher(body.toString());
        if (own.find()) { // it plays at the front's own address
          door =
              new FrontEndpoint(
                  door.front, own.group(1), Integer.parseInt(own.group(2)), door.building);
        }
        playlist();
      } else {
        figures.rejected += how.equals("blocked") ? 1 : 0;
        figures.failed += how.equals("aborted") ? 1 : 0;
        String advice = r.getHeader("Retry-After-Ms");
        again(advice != null && patientWithAdvice ? Integer.parseInt(advice) : 0);
      }
    }

    private void again(int adviceMs) {
      viewing = null;
      if (closing || tries >= 5 || chance.nextDouble() > 0.9) {
        gone();
        return;
      }
      figures.retried++;
      vertx.setTimer(
          Math.max(adviceMs, 300 + chance.nextInt(1200)),
          t -> {
            if (closing) {
              gone();
            } else {
              ask();
            }
          });
    }

    private void playlist() {
      get(
          "/v/" + viewing + "/media.m3u8",
          5000,
          (status, body) -> {
            if (status == 200 && body.toString().startsWith("#EXTM3U")) {
              String first =
                  body.toString().lines().filter(l -> l.startsWith("/v/")).findFirst().orElse("");
              segment(first, 0);
            } else {
              lost(status);
            }
          });
    }

    private void segment(String firstUri, int n) {
      if (leftMs <= 0 || closing) {
        leave();
        return;
      }
      long from = tap.elapsedMicros();
      get(
          firstUri.replaceFirst("[0-9]+\\.ts$", n + ".ts"),
          8000,
          (status, body) -> {
            if (status != 200) {
              if (++failed >= 2 || status == 410) {
                lost(status);
              } else {
                segment(firstUri, n);
              }
              return;
            }
            figures.segments++;
            figures.bytes += body.length();
            long took = (tap.elapsedMicros() - from) / 1000;
            leftMs -= Math.max(1000, took);
            failed = took > 2500 ? failed + 1 : 0;
            if (failed >= 2) {
              figures.stalled++;
              leave();
              return;
            }
            vertx.setTimer(Math.max(1, 1000 - took), t -> segment(firstUri, n + 1));
          });
    }

    private void lost(int status) {
      tap.recordEvent("play-broke", "viewing", viewing, "front", door.front, "status", status);
      if (status != 410 && status != 0) {
        client.request(to(HttpMethod.DELETE, "/v/" + viewing)).compose(HttpClientRequest::send);
      }
      again(0);
    }

    private void leave() {
      tap.recordEvent("left", "viewing", viewing, "front", door.front);
      client
          .request(to(HttpMethod.DELETE, "/v/" + viewing))
          .compose(HttpClientRequest::send)
          .onComplete(r -> gone());
    }

    private interface Got {
      void with(int status, Buffer body);
    }

    /** Status 0: the front cannot be reached, broke off, or sent nothing whole in time. */
    private void get(String uri, int ms, Got then) {
      boolean[] over = {false};
      HttpClientRequest[] sent = {null};
      long timer =
          vertx.setTimer(
              ms,
              t -> {
                if (!over[0]) {
                  over[0] = true;
                  if (sent[0] != null) {
                    sent[0].reset();
                  }
                  then.with(0, Buffer.buffer());
                }
              });
      Got once =
          (status, body) -> {
            if (!over[0]) {
              over[0] = true;
              vertx.cancelTimer(timer);
              then.with(status, body);
            }
          };
      client
          .request(to(HttpMethod.GET, uri))
          .onFailure(e -> once.with(0, Buffer.buffer()))
          .onSuccess(
              q -> {
                sent[0] = q;
                q.send()
                    .onFailure(e -> once.with(0, Buffer.buffer()))
                    .onSuccess(
                        r -> {
                          r.exceptionHandler(e -> once.with(0, Buffer.buffer()));
                          r.body()
                              .onSuccess(b -> once.with(r.statusCode(), b))
                              .onFailure(e -> once.with(0, Buffer.buffer()));
                        });
              });
    }
  }
}
