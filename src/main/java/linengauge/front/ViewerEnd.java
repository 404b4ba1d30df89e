package linengauge.front;

import io.vertx.core.Context;
import io.vertx.core.http.HttpHeaders;
import io.vertx.core.http.HttpServerResponse;
import java.util.concurrent.atomic.AtomicInteger;
import linengauge.Moment;
import linengauge.Outside;
import linengauge.Span;
import linengauge.carry.Wall;
import linengauge.session.Held;
import linengauge.session.Viewer;

/**
 * One viewer on the sockets: the connection that waits for the answer, and afterwards the viewing's
 * route. Decisions come on the desk; bytes move on the loop of the viewer's connection.
 */
final class ViewerEnd implements Viewer {
  /** Where the viewing plays; read by the loops, written by the desk. */
  record Route(String host, int port) {}

  private final Context loop;
  private final HttpServerResponse response;
  private final Routes routes;
  private volatile long lastAsked = Wall.micros();
  private volatile Route route;

  /** Requests for media under way; each leaves as it ends. */
  private final AtomicInteger underWay = new AtomicInteger();

  /** Bytes a second of the rung in force; written by the desk, read by the loops. */
  private volatile double rungBytes;

  /** Bytes a second of the lowest rung that its package allows. */
  private final double lowestBytes;

  private final String base;
  private Held held;
  private String playlist;

  ViewerEnd(
      Context loop, HttpServerResponse response, Routes routes, double lowestBytes, String base) {
    this.base = base;
    this.loop = loop;
    this.response = response;
    this.routes = routes;
    this.lowestBytes = lowestBytes;
  }

  /**
   * What stands before the paths in its first playlist: none, or this front's own address where it
   * came by a shared one.
   */
  String base() {
    return base;
  }

  double lowestBytes() {
    return lowestBytes;
  }

  double rungBytes() {
    return rungBytes;
  }

  void rungBytes(double perSecond) {
    rungBytes = perSecond;
  }

  /** On the desk: the playlist that answers, once the box has given it. */
  void playlist(String text) {
    this.playlist = text;
  }

  Held held() {
    return held;
  }

  void held(Held taken) {
    this.held = taken;
  }

  Route route() {
    return route;
  }

  void asked() {
    lastAsked = Wall.micros();
  }

  AtomicInteger underWay() {
    return underWay;
  }

  @Override
  public void plays(Held vw) {
    lastAsked = Wall.micros();
    var at = linengauge.site.Site.Address.parse(vw.box().address());
    route = new Route(at.host(), at.port());
    routes.put(vw.id(), this);
    String text = playlist;
    playlist = null;
    answer(200, text, null);
  }

  @Override
  public void blocked(Span comeBackAfter, Outside.Refusal reason) {
    answer(503, "blocked: come again\n", comeBackAfter);
  }

  @Override
  public void aborted(Cause cause) {
    answer(
        cause == Cause.NO_ANSWER ? 504 : 502,
        "aborted: "
            + switch (cause) {
              case FAILED -> "the set-up failed\n";
              case NO_ANSWER -> "no media box answered in time\n";
              case FRONT_FAILED -> "the front stops\n";
            },
        null);
  }

  @Override
  public void ended(End how) {
    route = null;
    if (held != null) {
      routes.remove(held.id(), how);
    }
  }

  @Override
  public Moment lastAsked() {
    return new Moment(lastAsked);
  }

  private void answer(int status, String text, Span retry) {
    loop.runOnContext(
        v -> {
          if (response.closed() || response.ended()) {
            return;
          }
          response.setStatusCode(status);
          response.putHeader(
              HttpHeaders.CONTENT_TYPE,
              status == 200 ? "application/vnd.apple.mpegurl" : "text/plain; charset=utf-8");
          response.putHeader(HttpHeaders.CACHE_CONTROL, "no-store");
          if (retry != null && Span.NONE.under(retry)) {
            response.putHeader(
                "Retry-After", Long.toString((retry.micros() + 999_999) / 1_000_000));
            response.putHeader("Retry-After-Ms", Long.toString(retry.micros() / 1000));
          }
          response.end(text);
        });
  }
}
