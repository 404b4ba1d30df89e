package linengauge.front;

import io.vertx.core.Context;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import java.util.concurrent.atomic.AtomicInteger;
import linengauge.Environment;
import linengauge.Moment;
import linengauge.Span;
import linengauge.net.WallClock;
import linengauge.session.Session;
import linengauge.session.Viewer;

/**
 * One viewer over HTTP: the response that waits for the decision, and afterwards the route of the
 * viewing. Decisions arrive on the session loop; bytes move on the event loop of the viewer's
 * connection.
 */
final class HttpViewer implements Viewer {
  /**
   * The box at which the viewing plays; written on the session loop, read on the viewers' event
   * loops.
   */
  record Route(String host, int port) {}

  private final Context loopContext;
  private final HttpServerResponse response;
  private final ActiveViewings activeViewings;
  private volatile long lastRequestMicros = WallClock.micros();
  private volatile Route route;

  /** Number of media transfers in progress. */
  private final AtomicInteger activeTransfers = new AtomicInteger();

  /**
   * Bytes per second of the current rung; written on the session loop, read on the viewers' event
   * loops.
   */
  private volatile double rungBytesPerSecond;

  /** Bytes per second of the lowest rung that the viewing's package allows. */
  private final double lowestBytesPerSecond;

  private final String baseUrl;
  private Session viewing;
  private String playlist;

  HttpViewer(
      Context loopContext,
      HttpServerResponse response,
      ActiveViewings activeViewings,
      double lowestBytesPerSecond,
      String baseUrl) {
    this.baseUrl = baseUrl;
    this.loopContext = loopContext;
    this.response = response;
    this.activeViewings = activeViewings;
    this.lowestBytesPerSecond = lowestBytesPerSecond;
  }

  /**
   * What precedes the paths in the first playlist: empty, or this front's own address where the
   * viewer came by a shared one.
   */
  String baseUrl() {
    return baseUrl;
  }

  double lowestBytesPerSecond() {
    return lowestBytesPerSecond;
  }

  double rungBytesPerSecond() {
    return rungBytesPerSecond;
  }

  void rungBytesPerSecond(double bytesPerSecond) {
    rungBytesPerSecond = bytesPerSecond;
  }

  /** Sets the playlist for the response, once the box has sent it. Called on the session loop. */
  void playlist(String text) {
    this.playlist = text;
  }

  Session viewing() {
    return viewing;
  }

  void viewing(Session session) {
    this.viewing = session;
  }

  Route route() {
    return route;
  }

  void recordActivity() {
    lastRequestMicros = WallClock.micros();
  }

  AtomicInteger activeTransfers() {
    return activeTransfers;
  }

  @Override
  public void started(Session session) {
    lastRequestMicros = WallClock.micros();
    var address = linengauge.site.Site.Address.parse(session.box().address());
    route = new Route(address.host(), address.port());
    activeViewings.put(session.id(), this);
    String text = playlist;
    playlist = null;
    respond(200, text, null);
  }

  @Override
  public void rejected(Span retryAfter, Environment.RejectionReason reason) {
    respond(503, "blocked: come again\n", retryAfter);
  }

  @Override
  public void failed(FailureCause cause) {
    respond(
        cause == FailureCause.NO_ANSWER ? 504 : 502,
        "aborted: "
            + switch (cause) {
              case FAILED -> "the set-up failed\n";
              case NO_ANSWER -> "no media box answered in time\n";
              case FRONT_FAILED -> "the front stops\n";
            },
        null);
  }

  @Override
  public void ended(EndReason reason) {
    route = null;
    if (viewing != null) {
      activeViewings.remove(viewing.id(), reason);
    }
  }

  @Override
  public Moment lastRequestAt() {
    return new Moment(lastRequestMicros);
  }

  private void respond(int status, String text, Span retryAfter) {
    loopContext.runOnContext(
        v -> {
          if (response.closed() || response.ended()) {
            return;
          }
          response.setStatusCode(status);
          response.putHeader(
              HttpHeaders.CONTENT_TYPE,
              status == 200 ? "application/vnd.apple.mpegurl" : "text/plain; charset=utf-8");
          response.putHeader(HttpHeaders.CACHE_CONTROL, "no-store");
          if (retryAfter != null && Span.NONE.isShorterThan(retryAfter)) {
            response.putHeader(
                "Retry-After", Long.toString((retryAfter.micros() + 999_999) / 1_000_000));
            response.putHeader("Retry-After-Ms", Long.toString(retryAfter.micros() / 1000));
          }
          response.end(text);
        });
  }
}
