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
 * Simulates players on one event loop. They arrive on schedule whether or not earlier requests were
 * answered, wait until their deadline, play segment by segment, leave, and retry with their key
 * after a broken connection or a rejection.
 */
public final class PlayerSimulator {
  private static final Pattern VIEWING = Pattern.compile("/v/([A-Za-z0-9-]+)/media\\.m3u8");
  private static final Pattern OWN_ADDRESS = Pattern.compile("http://([^:/]+):([0-9]+)/v/");

  /** How long after its deadline a player still waits, so that a late answer is recorded. */
  private static final int LATE_ANSWER_WAIT_MS = 400;

  /** The requests of one package. Shares sum to 1; spans are in milliseconds. */
  public record PlayerProfile(
      String packageName, double share, int timeLimitMs, int latencyObjectiveMs, double value) {}

  /** The counters of a run. */
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
   * The address at which a front accepts viewers, and its building. A front below 0 stands for a
   * shared address; the LAN then reports which front received each request.
   */
  public record Front(int front, String host, int port, String building) {}

  private final Vertx vertx;
  private final HttpClient client;
  private final Tap tap;
  private final List<Front> endpoints;
  private final List<PlayerProfile> profiles;
  private final List<String> titles;
  private final double[] titleWeights;
  private final SplittableRandom random;
  private final Figures figures = new Figures();
  private final int ceilingRungs;
  private final int shortestMs;
  private final int longestMs;
  private final String keyPrefix;
  private final HttpClient unpooledClient;
  private SharedLan lan;

  /** When requests were answered as playing, in microseconds of the tap. */
  private final List<Long> playedAt = new ArrayList<>();

  private String hotTitle;
  private double hotShare;
  private int activePlayers;
  private int nextPlayerNumber;
  private boolean closing;

  public PlayerSimulator(
      Vertx vertx,
      List<Front> endpoints,
      List<PlayerProfile> profiles,
      List<String> titles,
      int rungs,
      int shortestMs,
      int longestMs,
      long seed,
      Tap tap) {
    this(vertx, endpoints, profiles, titles, rungs, shortestMs, longestMs, seed, tap, "k");
  }

  /** If several simulators share a record, each has a key prefix of its own. */
  public PlayerSimulator(
      Vertx vertx,
      List<Front> endpoints,
      List<PlayerProfile> profiles,
      List<String> titles,
      int rungs,
      int shortestMs,
      int longestMs,
      long seed,
      Tap tap,
      String keyPrefix) {
    this.keyPrefix = keyPrefix;
    this.vertx = vertx;
    this.endpoints = List.copyOf(endpoints);
    this.profiles = List.copyOf(profiles);
    this.titles = List.copyOf(titles);
    this.ceilingRungs = rungs;
    this.shortestMs = shortestMs;
    this.longestMs = longestMs;
    this.tap = tap;
    this.random = new SplittableRandom(seed);
    this.titleWeights = new double[titles.size()];
    for (int i = 0; i < titleWeights.length; i++) {
      titleWeights[i] = 1 / Math.pow(i + 1, 0.8);
    }
    this.client =
        client(
            new HttpClientOptions().setConnectTimeout(1000).setKeepAliveTimeout(10),
            new PoolOptions().setHttp1MaxSize(4000).setMaxWaitQueueSize(20_000));
    this.unpooledClient =
        client(
            new HttpClientOptions().setConnectTimeout(1000).setKeepAlive(false),
            new PoolOptions().setHttp1MaxSize(4000).setMaxWaitQueueSize(20_000));
  }

  private synchronized void recordPlayed(long at) {
    playedAt.add(at);
  }

  /**
   * Connections that break are reported by their requests; without this handler the library also
   * logs those that break between requests.
   */
  private HttpClient client(HttpClientOptions options, PoolOptions pool) {
    return vertx
        .httpClientBuilder()
        .with(options)
        .with(pool)
        .withConnectHandler(c -> c.exceptionHandler(e -> {}))
        .build();
  }

  /** Sets the LAN that serves the endpoints of shared addresses. */
  public void setLan(SharedLan sharedLan) {
    lan = sharedLan;
  }

  /**
   * Returns the longest time without an answer that plays, among those that overlap the span; in
   * microseconds of the tap.
   */
  public synchronized long longestGapMicros(long from, long to) {
    long last = from;
    long longest = 0;
    for (long at : playedAt) {
      if (at >= from) {
        longest = last <= to ? Math.max(longest, at - last) : longest;
        last = at;
      }
    }
    return last <= to ? Math.max(longest, to - last) : longest;
  }

  public Figures figures() {
    return figures;
  }

  /** Returns the number of players that wait, play or are about to retry. */
  public int activePlayers() {
    return activePlayers;
  }

  /** Sets a title that many players request. */
  public void setHotTitle(String title, double share) {
    hotTitle = title;
    hotShare = share;
  }

  /** Stops retries; players that play leave at their next segment. */
  public void close() {
    closing = true;
  }

  public boolean isClosing() {
    return closing;
  }

  /** Adds one player. */
  public void arrive() {
    double draw = random.nextDouble();
    PlayerProfile profile = profiles.get(profiles.size() - 1);
    for (PlayerProfile candidate : profiles) {
      draw -= candidate.share;
      if (draw < 0) {
        profile = candidate;
        break;
      }
    }
    String title = hotTitle != null && random.nextDouble() < hotShare ? hotTitle : drawTitle();
    int ceiling = random.nextDouble() < 0.25 ? Math.max(1, ceilingRungs - 2) : ceilingRungs - 1;
    int lengthMs = shortestMs + random.nextInt(Math.max(1, longestMs - shortestMs));
    activePlayers++;
    new Player(keyPrefix + nextPlayerNumber++, profile, title, ceiling, lengthMs).requestViewing();
  }

  private String drawTitle() {
    double totalWeight = 0;
    for (double weight : titleWeights) {
      totalWeight += weight;
    }
    double draw = random.nextDouble() * totalWeight;
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
    private final PlayerProfile profile;
    private final String title;
    private final int ceiling;
    private final String building;
    private final boolean followsRetryAdvice = random.nextDouble() < 0.6;
    private double leftMs;
    private Front peer;
    private int attempts;
    private String viewing;
    private int consecutiveFailures;

    private Player(String key, PlayerProfile profile, String title, int ceiling, int lengthMs) {
      this.key = key;
      this.profile = profile;
      this.title = title;
      this.ceiling = ceiling;
      this.leftMs = lengthMs;
      this.building = endpoints.get(random.nextInt(endpoints.size())).building;
      figures.valueRequested += profile.value;
    }

    private RequestOptions options(HttpMethod method, String uri) {
      return new RequestOptions()
          .setMethod(method)
          .setHost(peer.host)
          .setPort(peer.port)
          .setURI(uri);
    }

    private void onGone() {
      activePlayers--;
    }

    private void requestViewing() {
      List<Front> nearby = new ArrayList<>(endpoints);
      nearby.removeIf(candidate -> !candidate.building.equals(building));
      peer = nearby.get(random.nextInt(nearby.size()));
      String id = key + "-" + attempts++;
      long askedAt = tap.elapsedMicros();
      figures.asked++;
      boolean[] done = {false};
      HttpClientRequest[] sent = {null};
      long timer =
          vertx.setTimer(profile.timeLimitMs + LATE_ANSWER_WAIT_MS, t -> onTimeout(id, done, sent));
      boolean shared = peer.front < 0;
      RequestOptions options = options(HttpMethod.GET, viewingUri());
      if (shared) {
        options.putHeader("X-Ask", id);
      }
      (shared ? unpooledClient : client)
          .request(options)
          .onComplete(
              result -> {
                if (done[0]) {
                  if (result.succeeded()) {
                    result.result().reset();
                  }
                  return;
                }
                if (result.failed()) {
                  done[0] = true;
                  vertx.cancelTimer(timer);
                  onNotReached(id);
                  return;
                }
                sent[0] = result.result();
                if (!shared) {
                  recordRequest(id);
                }
                send(id, askedAt, result.result(), done, timer);
              });
    }

    /** The deadline and the wait for a late answer are over. */
    private void onTimeout(String id, boolean[] done, HttpClientRequest[] sent) {
      if (done[0]) {
        return;
      }
      done[0] = true;
      if (resolveFront(id)) {
        figures.unanswered++;
        tap.recordEvent("gave-up", "ask", id, "front", peer.front);
      }
      if (sent[0] != null) {
        sent[0].reset();
      }
      retryLater(0);
    }

    private void onNotReached(String id) {
      figures.notReached++;
      tap.recordEvent("not-reached", "ask", id, "front", peer.front);
      retryLater(0);
    }

    private String viewingUri() {
      return "/titles/"
          + title
          + "/main.m3u8?package="
          + profile.packageName
          + "&ceiling="
          + ceiling
          + "&patience="
          + profile.timeLimitMs
          + "&key="
          + key;
    }

    private void recordRequest(String id) {
      tap.recordEvent(
          "asked",
          "ask",
          id,
          "front",
          peer.front,
          "key",
          key,
          "title",
          title,
          "package",
          profile.packageName,
          "ceiling",
          ceiling,
          "patienceMs",
          profile.timeLimitMs);
    }

    private void send(
        String id, long askedAt, HttpClientRequest request, boolean[] done, long timer) {
      request
          .send()
          .onComplete(
              result -> {
                if (done[0]) {
                  return;
                }
                if (result.failed()) {
                  done[0] = true;
                  vertx.cancelTimer(timer);
                  onDisconnected(id);
                } else {
                  result
                      .result()
                      .exceptionHandler(
                          e -> {
                            if (!done[0]) {
                              done[0] = true;
                              vertx.cancelTimer(timer);
                              onDisconnected(id);
                            }
                          });
                  result
                      .result()
                      .body()
                      .onSuccess(
                          body -> {
                            if (!done[0]) {
                              done[0] = true;
                              vertx.cancelTimer(timer);
                              onAnswer(id, askedAt, result.result(), body);
                            }
                          });
                }
              });
    }

    /** Returns whether a front received the request; for a shared address, the LAN knows it. */
    private boolean resolveFront(String id) {
      if (peer.front >= 0) {
        return true;
      }
      Integer node = lan.receivingNode(id);
      if (node == null) {
        figures.notReached++;
        tap.recordEvent("not-reached", "ask", id, "front", -1);
        return false;
      }
      peer = new Front(node, peer.host, peer.port, peer.building);
      return true;
    }

    private void onDisconnected(String id) {
      if (resolveFront(id)) {
        figures.disconnected++;
        tap.recordEvent("broke", "ask", id, "front", peer.front);
      }
      retryLater(0);
    }

    private void onAnswer(String id, long askedAt, HttpClientResponse response, Buffer body) {
      long micros = tap.elapsedMicros() - askedAt;
      resolveFront(id);
      Matcher viewingMatch = VIEWING.matcher(body.toString());
      boolean plays = response.statusCode() == 200 && viewingMatch.find();
      String how =
          plays
              ? "plays"
              : switch (response.statusCode()) {
                case 503 -> "blocked";
                case 502, 504 -> "aborted";
                default -> "unclear";
              };
      tap.recordEvent(
          "answered",
          "ask",
          id,
          "front",
          peer.front,
          "how",
          how,
          "status",
          response.statusCode(),
          "viewing",
          plays ? viewingMatch.group(1) : null);
      if (plays) {
        figures.played++;
        figures.joinMicros.recordValue(Math.min(micros, 59_000_000L));
        if (attempts == 1 && micros <= 1000L * profile.latencyObjectiveMs) {
          figures.valueOnTime += profile.value;
        }
        viewing = viewingMatch.group(1);
        recordPlayed(tap.elapsedMicros());
        Matcher own = OWN_ADDRESS.matcher(body.toString());
        if (own.find()) { // The viewing plays at the front's own address.
          peer = new Front(peer.front, own.group(1), Integer.parseInt(own.group(2)), peer.building);
        }
        fetchPlaylist();
      } else {
        figures.rejected += how.equals("blocked") ? 1 : 0;
        figures.failed += how.equals("aborted") ? 1 : 0;
        String advice = response.getHeader("Retry-After-Ms");
        retryLater(advice != null && followsRetryAdvice ? Integer.parseInt(advice) : 0);
      }
    }

    private void retryLater(int adviceMs) {
      viewing = null;
      if (closing || attempts >= 5 || random.nextDouble() > 0.9) {
        onGone();
        return;
      }
      figures.retried++;
      vertx.setTimer(
          Math.max(adviceMs, 300 + random.nextInt(1200)),
          t -> {
            if (closing) {
              onGone();
            } else {
              requestViewing();
            }
          });
    }

    private void fetchPlaylist() {
      get(
          "/v/" + viewing + "/media.m3u8",
          5000,
          (status, body) -> {
            if (status == 200 && body.toString().startsWith("#EXTM3U")) {
              String first =
                  body.toString().lines().filter(l -> l.startsWith("/v/")).findFirst().orElse("");
              fetchSegment(first, 0);
            } else {
              onPlaybackLost(status);
            }
          });
    }

    private void fetchSegment(String firstUri, int index) {
      if (leftMs <= 0 || closing) {
        leave();
        return;
      }
      long startedAt = tap.elapsedMicros();
      get(
          firstUri.replaceFirst("[0-9]+\\.ts$", index + ".ts"),
          8000,
          (status, body) -> {
            if (status != 200) {
              if (++consecutiveFailures >= 2 || status == 410) {
                onPlaybackLost(status);
              } else {
                fetchSegment(firstUri, index);
              }
              return;
            }
            figures.segments++;
            figures.bytes += body.length();
            long tookMs = (tap.elapsedMicros() - startedAt) / 1000;
            leftMs -= Math.max(1000, tookMs);
            consecutiveFailures = tookMs > 2500 ? consecutiveFailures + 1 : 0;
            if (consecutiveFailures >= 2) {
              figures.stalled++;
              leave();
              return;
            }
            vertx.setTimer(Math.max(1, 1000 - tookMs), t -> fetchSegment(firstUri, index + 1));
          });
    }

    private void onPlaybackLost(int status) {
      tap.recordEvent("play-broke", "viewing", viewing, "front", peer.front, "status", status);
      if (status != 410 && status != 0) {
        client
            .request(options(HttpMethod.DELETE, "/v/" + viewing))
            .compose(HttpClientRequest::send);
      }
      retryLater(0);
    }

    private void leave() {
      tap.recordEvent("left", "viewing", viewing, "front", peer.front);
      client
          .request(options(HttpMethod.DELETE, "/v/" + viewing))
          .compose(HttpClientRequest::send)
          .onComplete(r -> onGone());
    }

    private interface ResponseHandler {
      void onResponse(int status, Buffer body);
    }

    /** Status 0: unreachable, disconnected, or no complete answer within the time limit. */
    private void get(String uri, int timeLimitMs, ResponseHandler handler) {
      boolean[] done = {false};
      HttpClientRequest[] sent = {null};
      long timer =
          vertx.setTimer(
              timeLimitMs,
              t -> {
                if (!done[0]) {
                  done[0] = true;
                  if (sent[0] != null) {
                    sent[0].reset();
                  }
                  handler.onResponse(0, Buffer.buffer());
                }
              });
      ResponseHandler onceHandler =
          (status, body) -> {
            if (!done[0]) {
              done[0] = true;
              vertx.cancelTimer(timer);
              handler.onResponse(status, body);
            }
          };
      client
          .request(options(HttpMethod.GET, uri))
          .onFailure(e -> onceHandler.onResponse(0, Buffer.buffer()))
          .onSuccess(
              request -> {
                sent[0] = request;
                request
                    .send()
                    .onFailure(e -> onceHandler.onResponse(0, Buffer.buffer()))
                    .onSuccess(
                        response -> {
                          response.exceptionHandler(
                              e -> onceHandler.onResponse(0, Buffer.buffer()));
                          response
                              .body()
                              .onSuccess(
                                  responseBody ->
                                      onceHandler.onResponse(response.statusCode(), responseBody))
                              .onFailure(e -> onceHandler.onResponse(0, Buffer.buffer()));
                        });
              });
    }
  }
}
