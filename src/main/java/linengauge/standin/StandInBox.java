package linengauge.standin;

import com.fasterxml.jackson.databind.ObjectMapper;
import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.io.IOException;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.SplittableRandom;

/**
 * One stand-in media box (docs/protocol/box.md): its listener, its lives, and its answers to fronts
 * and viewers. Its faults are set on the event loop of the fleet.
 */
public final class StandInBox {
  private static final ObjectMapper JSON = new ObjectMapper();
  private static final String VIEWINGS = "/viewings/";
  private static final long MAX_AGE_MS = 999_999_999L;

  /** Below this value a share is reported as short. */
  private static final double SHORT_SHARE = 0.98;

  private final Vertx vertx;
  private final BoxFleet fleet;
  private final BoxFleet.BoxSpec spec;
  private final int number;
  private final BoxFleet.BoxLocation location;
  private final NetworkLinks links;
  private final MediaRates rates;
  private final SplittableRandom random;
  private final Tap tap;
  private final BoxFaults faults = new BoxFaults();
  private final BoxViewings viewings;
  private final SetUpHandler setUps;
  private final SegmentSender segments;
  private final NoteStreams notes;
  private final Set<HttpConnection> connections = new LinkedHashSet<>();
  private HttpServer server;
  private long startedAt = Long.MIN_VALUE / 2;
  private int life = 1;
  private boolean up;
  private double lastShare = 1;

  StandInBox(BoxFleet fleet, int number, BoxFleet.BoxLocation location) {
    this.fleet = fleet;
    this.vertx = fleet.vertx();
    this.spec = fleet.spec();
    this.number = number;
    this.location = location;
    this.links = fleet.links();
    this.rates = fleet.rates();
    this.random = fleet.random();
    this.tap = fleet.tap();
    this.viewings = new BoxViewings(number, links);
    this.setUps = new SetUpHandler(vertx, this, spec, viewings, rates, random, tap);
    this.segments = new SegmentSender(viewings);
    this.notes = new NoteStreams(vertx, this);
  }

  public BoxFleet.BoxLocation location() {
    return location;
  }

  public boolean isUp() {
    return up;
  }

  /** Returns the time of a cold start in epoch milliseconds; 0 means long ago. */
  public long startedAtMillis() {
    return startedAt < 0 ? 0 : startedAt;
  }

  BoxFaults faults() {
    return faults;
  }

  /** Returns the number of starts; work of an earlier life is discarded. */
  int life() {
    return life;
  }

  int runningCount() {
    return viewings.runningCount();
  }

  Future<?> listen(boolean cold) {
    server =
        vertx.createHttpServer(new HttpServerOptions().setTcpNoDelay(true).setReuseAddress(true));
    server.connectionHandler(
        connection -> {
          connections.add(connection);
          connection.closeHandler(v -> connections.remove(connection));
        });
    server.invalidRequestHandler(request -> request.connection().close());
    server.requestHandler(this::handle);
    return server.listen(location.port(), location.host()).onSuccess(v -> onListening(cold));
  }

  private void onListening(boolean cold) {
    up = true;
    faults.draining = false;
    faults.silent = false;
    setUps.reset();
    startedAt = cold ? System.currentTimeMillis() : startedAt;
    tap.recordEvent("box-started", "box", location.id(), "cold", cold, "streams", spec.streams());
  }

  /* ---- faults ---- */

  /** Sets the probability that a set-up fails. */
  public void setFailureRate(double rate) {
    faults.failureRate = rate;
  }

  /**
   * Sets the probability that a set-up runs but its answer is lost: silently, or with a reset of
   * the connection.
   */
  public void setAnswerLoss(double rate, boolean byReset) {
    faults.answerLossRate = rate;
    faults.resetsOnLostAnswer = byReset;
  }

  /** While hung, the box accepts work and answers nothing. */
  public void setHung(boolean on) {
    faults.hung = on;
  }

  /** Sets the factor by which set-ups take longer. */
  public void setSlowdown(double factor) {
    faults.slowdownFactor = factor;
  }

  public void setBadPlaylists(boolean on) {
    faults.badPlaylists = on;
  }

  public void setDraining(boolean on) {
    faults.draining = on;
  }

  public void setLinkCapacity(double share) {
    links.setLinkCapacity(number, share);
  }

  public void setBackgroundUsage(double share) {
    links.setBackgroundUsage(number, share);
  }

  /** Simulates a machine that disappears without closing its sockets: nothing is answered. */
  public void becomeUnreachable() {
    faults.silent = true;
    dropState();
  }

  /** Simulates the end of the process: its sockets close, and connections are refused. */
  public Future<?> close() {
    up = false;
    dropState();
    for (HttpConnection connection : List.copyOf(connections)) {
      connection.close();
    }
    return server.close();
  }

  /** Restarts the box cold. */
  public void restart() {
    life++;
    Future<?> down = up ? close() : Future.succeededFuture();
    down.onComplete(v -> listen(true));
  }

  private void dropState() {
    tap.recordEvent("box-lost", "box", location.id());
    viewings.clear();
    notes.clear();
    segments.clear();
  }

  /* ---- requests ---- */

  private void handle(HttpServerRequest request) {
    String path = request.path() == null ? "" : request.path();
    request.response().exceptionHandler(e -> {});
    String rest = path.startsWith(VIEWINGS) ? path.substring(VIEWINGS.length()) : null;
    if (rest != null && request.method() == HttpMethod.PUT) {
      request.body().onSuccess(body -> setUps.handle(request, rest, body));
    } else if (rest != null && request.method() == HttpMethod.PATCH) {
      request.body().onSuccess(body -> changeRung(request, rest, body));
    } else if (rest != null && request.method() == HttpMethod.DELETE) {
      end(request, rest);
    } else if (!faults.isUnresponsive()) {
      handleRead(request, path, rest);
    }
  }

  private void handleRead(HttpServerRequest request, String path, String rest) {
    if (path.equals("/load")) {
      answer(request, 200, "");
    } else if (path.equals("/notes")) {
      notes.open(request);
    } else if (rest != null) {
      sendMedia(request, rest);
    } else {
      answer(request, 404, "");
    }
  }

  void answer(HttpServerRequest request, int status, String text) {
    if (!request.response().ended() && !request.response().closed()) {
      request
          .response()
          .setStatusCode(status)
          .putHeader("Load", load())
          .putHeader("Box-Life", Integer.toString(life))
          .putHeader("Box-Age-Ms", Long.toString(ageMs()))
          .end(text);
    }
  }

  private String load() {
    double noise = 0.96 + 0.08 * random.nextDouble();
    String link = String.format(Locale.ROOT, "link=%.3f", links.linkLoad(number) * noise);
    String uplink =
        spec.reportsUplink()
            ? String.format(Locale.ROOT, "; uplink=%.3f", links.uplinkLoad(number) * noise)
            : "";
    return link + uplink + "; streams=" + viewings.usedStreams();
  }

  long ageMs() {
    return Math.min(MAX_AGE_MS, System.currentTimeMillis() - Math.max(0, startedAt));
  }

  boolean isCold(long nowMillis) {
    return nowMillis - startedAt < spec.coldMs();
  }

  /**
   * Returns the available share of the capacity, which rises from the start until the box is warm.
   */
  double availableCapacity() {
    long age = System.currentTimeMillis() - startedAt;
    return age >= spec.coldMs()
        ? 1
        : spec.startCapacity() + (1 - spec.startCapacity()) * age / spec.coldMs();
  }

  private void changeRung(HttpServerRequest request, String id, Buffer body) {
    RunningViewing viewing = viewings.get(id);
    int rung = readRung(body);
    tap.recordEvent("rung", "box", location.id(), "viewing", id, "rung", rung);
    if (faults.isUnresponsive()) {
      return;
    }
    if (viewing == null) {
      answer(request, 404, "");
    } else if (rung < 0 || rung >= spec.ladderKb().length) {
      answer(request, 400, "");
    } else {
      viewings.change(viewing, rung, rates.rate(viewing.title(), viewing.packageName(), rung));
      answer(request, 200, "");
    }
  }

  /** Returns -1 if the rung cannot be read. */
  private static int readRung(Buffer body) {
    try {
      return JSON.readTree(body.getBytes()).path("rung").asInt(-1);
    } catch (IOException e) {
      return -1;
    }
  }

  private void end(HttpServerRequest request, String id) {
    tap.recordEvent("ended", "box", location.id(), "viewing", id, "why", "asked");
    if (faults.isUnresponsive()) {
      return;
    }
    String tuneIn = request.getParam("tuneIn");
    viewings.markEnded(id, tuneIn == null ? Integer.MAX_VALUE : Integer.parseInt(tuneIn));
    RunningViewing viewing = viewings.get(id);
    if (viewing != null) {
      viewings.stop(viewing);
    }
    answer(request, viewing == null ? 404 : 204, "");
  }

  private void sendMedia(HttpServerRequest request, String rest) {
    int slash = rest.indexOf('/');
    RunningViewing viewing = slash < 0 ? null : viewings.get(rest.substring(0, slash));
    if (viewing == null) {
      answer(request, 410, "");
      return;
    }
    viewing.renewLease();
    String file = rest.substring(slash + 1);
    if (file.equals("media.m3u8")) {
      answer(request, 200, StandInPlaylists.media());
    } else if (file.matches("segments/[0-9]{1,3}\\.ts")) {
      segments.send(viewing, request.response());
    } else {
      answer(request, 404, "");
    }
  }

  /* ---- time ---- */

  void tick() {
    if (!faults.isUnresponsive()) {
      segments.tick(links.share(number));
    }
  }

  void everySecond() {
    if (faults.isUnresponsive() || !up) {
      return;
    }
    long now = System.currentTimeMillis();
    endExpiredLeases(now);
    sendNotes(now);
  }

  private void endExpiredLeases(long now) {
    for (RunningViewing viewing : viewings.all()) {
      if (!segments.isSending(viewing) && now - viewing.lastRequestAt() > spec.leaseMs()) {
        tap.recordEvent("ended", "box", location.id(), "viewing", viewing.id(), "why", "lease");
        viewings.markEnded(viewing.id(), Integer.MAX_VALUE);
        viewings.stop(viewing);
      }
    }
  }

  private void sendNotes(long now) {
    double share = 0.5 * lastShare + 0.5 * links.share(number);
    boolean reportsShare = share < SHORT_SHARE || lastShare < SHORT_SHARE;
    lastShare = share;
    int reportIntervalSeconds = Math.max(1, spec.loadReportIntervalMs() / 1000);
    boolean reportsLoad =
        spec.loadReportIntervalMs() > 0 && (now / 1000 + number) % reportIntervalSeconds == 0;
    int delayMs = spec.noteDelayMs() + fleet.extraNoteDelayMs();
    String note =
        reportsShare ? String.format(Locale.ROOT, "{\"share\":%.3f}", Math.min(1, share)) : "";
    for (int front : notes.fronts()) {
      notes.send(front, note, delayMs);
      if (reportsLoad) {
        sendLinkLoad(front, delayMs);
      }
    }
  }

  void sendLinkLoad(int front, int delayMs) {
    notes.send(
        front, String.format(Locale.ROOT, "{\"link\":%.3f}", links.linkLoad(number)), delayMs);
  }
}
