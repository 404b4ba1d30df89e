package linengauge.front;

import io.vertx.core.Context;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.regex.Pattern;
import linengauge.Headend;
import linengauge.PackageTerms;
import linengauge.Span;
import linengauge.carry.Sparse;
import linengauge.carry.Wall;
import linengauge.flow.DoorBook;
import linengauge.hls.Paths;
import linengauge.session.Held;
import linengauge.session.Viewer;
import linengauge.site.Site;
import linengauge.vrrp.RouterTerms;
import linengauge.vrrp.udp.Lease;
import org.slf4j.LoggerFactory;

/**
 * The viewers' door on one loop (docs/protocol/viewer.md); as many of these share the address as
 * the site file says.
 */
final class Listener extends VerticleBase {
  private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
  private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,9}");

  private final FrontServer front;
  private final Site site;
  private final Headend deployment;
  private final Map<String, Integer> packageNumbers;
  private final Map<String, Site.Held> cellsByTitle;
  private final Sparse log = new Sparse(LoggerFactory.getLogger(Listener.class));
  private EventLoops eventLoop;
  private HttpClient mediaClient;
  private MediaRelay relay;
  private Context loopContext;

  Listener(FrontServer program, Headend house) {
    this.front = program;
    this.site = program.site();
    this.deployment = house;
    this.packageNumbers = site.packageNumbers();
    this.cellsByTitle = site.titleCells();
  }

  @Override
  public Future<?> start() {
    loopContext = context;
    // What has been read when a transfer is held back stays with the library: one read, so a read
    // is bounded.
    mediaClient =
        BoxClient.newClient(
            vertx,
            site,
            site.boxes().mediaConnections(),
            site.boxes().waitingMedia(),
            site.boxes().readBytes());
    eventLoop = new EventLoops(vertx, site);
    front.eventLoops().add(eventLoop);
    relay = new MediaRelay(front, mediaClient, vertx, eventLoop, log);
    List<Future<?>> open = new ArrayList<>();
    open.add(listen(site.front().viewers(), null));
    for (Site.Router r : site.vrrp().routers()) {
      if (r.viewers() != null && (r.accept() || r.priority() == RouterTerms.OWNER)) {
        open.add(listen(r.viewers(), front.addressLease(r.vrid())));
      }
    }
    return Future.all(open);
  }

  /** Opens one way in; where it is that of a shared address, it is open while the lease holds. */
  private Future<?> listen(String address, Lease lease) {
    Site.Viewers v = site.viewers();
    Site.Address at = Site.Address.of(address);
    HttpServer server =
        vertx.createHttpServer(
            new HttpServerOptions()
                .setMaxInitialLineLength(v.requestLineBytes())
                .setMaxHeaderSize(v.headerBytes())
                .setAcceptBacklog(v.backlog())
                .setTcpNoDelay(true)
                .setSendBufferSize(
                    v.sendBufferBytes()) // what waits in the system's buffers is out of our sight
                .setHttp2ClearTextEnabled(
                    false)); // else a connection is seen only with its first bytes
    server.connectionHandler(c -> accept(c, lease));
    server.invalidRequestHandler(
        r ->
            respondError(
                r,
                r.decoderResult().cause()
                        instanceof io.netty.handler.codec.http.TooLongHttpLineException
                    ? 414
                    : r.decoderResult().cause()
                            instanceof io.netty.handler.codec.http.TooLongHttpHeaderException
                        ? 431
                        : 400,
                "not a request that can be read"));
    server.requestHandler(this::handle);
    return server
        .listen(at.port(), at.host())
        .recover(e -> Future.failedFuture("viewers' listener " + address + ": " + e.getMessage()));
  }

  @Override
  public Future<?> stop() {
    return mediaClient.close();
  }

  private final Map<HttpConnection, ViewerConnection> connections = new HashMap<>();

  /** A shared address is another front's now. */
  void addressLost(Lease lease) {
    loopContext.runOnContext(
        v -> {
          for (ViewerConnection c : List.copyOf(connections.values())) {
            if (c.lease() == lease) {
              c.addressLost();
            }
          }
        });
  }

  private void accept(HttpConnection connection, Lease lease) {
    String address = connection.remoteAddress().hostAddress();
    DoorBook.Entry entry = front.admission().admit(address);
    if (entry == DoorBook.Entry.SHUT_OUT) {
      connection.close();
      return;
    }
    ViewerConnection c = new ViewerConnection(connection, entry, lease, eventLoop, front, log);
    connections.put(connection, c);
    connection.closeHandler(
        v -> {
          connections.remove(connection);
          front.admission().release(address, entry);
          c.connectionClosed();
        });
  }

  private void respondError(HttpServerRequest r, int status, String why) {
    if (!r.response().ended() && !r.response().closed()) {
      r.response().setStatusCode(status).putHeader("Content-Type", "text/plain; charset=utf-8");
      if (status == 405) {
        r.response().putHeader("Allow", "GET, DELETE");
      }
      if (status == 400 || status == 414 || status == 429 || status == 431 || status == 503) {
        r.response().putHeader("Connection", "close");
      }
      r.response().end(why + "\n");
    }
  }

  private void handle(HttpServerRequest r) {
    ViewerConnection c = connections.get(r.connection());
    if (c == null) {
      return; // closed meanwhile
    }
    trackResponse(r, c);
    if (!c.requestReceived()) {
      respondError(r, 429, "too many requests wait on this connection");
    } else if (c.lease() != null && !c.lease().holds()) {
      // nothing is taken; a break would tell less
      respondUnavailable(r, "the address is another front's: come again");
    } else if (c.isRejected()) {
      respondUnavailable(r, "no place: come again");
    } else if (countHeaderLines(r) > site.viewers().headerCount()) {
      respondError(r, 431, "more than " + site.viewers().headerCount() + " headers");
    } else {
      route(r, c);
    }
  }

  /** The caller is told once that this request is answered, or that its connection has closed. */
  private static void trackResponse(HttpServerRequest r, ViewerConnection c) {
    boolean[] over = {false};
    Runnable end =
        () -> {
          if (!over[0]) {
            over[0] = true;
            c.responseEnded();
          }
        };
    r.response().endHandler(v -> end.run());
    r.response().closeHandler(v -> end.run());
  }

  /** One by one: size() counts a name that comes again once. */
  private static int countHeaderLines(HttpServerRequest r) {
    int lines = 0;
    for (var i = r.headers().iterator(); i.hasNext(); i.next()) {
      lines++;
    }
    return lines;
  }

  private void route(HttpServerRequest r, ViewerConnection c) {
    String path = r.path() == null ? "" : r.path();
    if (path.startsWith("/v/")) {
      int slash = path.indexOf('/', 3);
      String id = slash < 0 ? path.substring(3) : path.substring(3, slash);
      serveViewing(r, c, id, slash < 0 ? "" : path.substring(slash + 1));
    } else if (path.startsWith("/titles/") && path.endsWith("/main.m3u8")) {
      if (r.method() == HttpMethod.GET) {
        requestViewing(
            r, c, path.substring("/titles/".length(), path.length() - "/main.m3u8".length()));
      } else {
        respondError(r, 405, "only GET");
      }
    } else {
      respondError(r, 404, "no such thing");
    }
  }

  private void requestViewing(HttpServerRequest r, ViewerConnection c, String title) {
    Held.Ask ask = parseRequest(r, title);
    if (ask == null) {
      return; // refused
    }
    if (!front.admission().allowsRequest(ask.key(), Wall.now())) {
      respondUnavailable(r, "blocked: this key asks too often");
      return;
    }
    HttpViewer end =
        new HttpViewer(
            loopContext,
            r.response(),
            front.activeViewings(),
            site.bytesOf(ask.pack(), 0),
            c.lease() == null ? "" : "http://" + site.front().viewers());
    r.response().exceptionHandler(e -> {});
    if (!front.submitRequest(() -> end.viewing(front.sessionManager().take(ask, end)))) {
      respondUnavailable(r, "blocked: too many ask at once");
      return;
    }
    c.onDisconnect(() -> front.runOnSessionLoop(() -> cancelUnlessPlaying(end.viewing())));
  }

  private static void cancelUnlessPlaying(Held held) {
    if (held != null && !held.isPlaying()) {
      held.viewerLeft();
    }
  }

  /** What is asked for; null where that was refused. */
  private Held.Ask parseRequest(HttpServerRequest r, String title) {
    String pack = r.getParam("package");
    Integer number = pack == null ? null : packageNumbers.get(pack);
    String key = r.getParam("key");
    if (!IDENTIFIER.matcher(title).matches() || key != null && !IDENTIFIER.matcher(key).matches()) {
      respondError(r, 400, "title and key are of letters, digits, '.', '_' and '-', 64 at most");
      return null;
    }
    if (number == null) {
      respondError(r, 400, "package names none of this site");
      return null;
    }
    PackageTerms terms = deployment.packages().get(number);
    long ceiling = parseWholeNumber(r.getParam("ceiling"), terms.highestRung());
    long patience = parseWholeNumber(r.getParam("patience"), site.viewers().longestPatienceMs());
    if (ceiling < 0 || patience <= 0) {
      respondError(
          r, 400, "ceiling and patience are whole numbers, patience in milliseconds and over 0");
      return null;
    }
    Site.Held where = cellsByTitle.get(title);
    if (where == null && !site.titles().anywhere()) {
      respondError(r, 404, "no such title");
      return null;
    }
    return new Held.Ask(
        title,
        where == null ? 0 : where.first(),
        where == null ? 0 : where.inRow(),
        number,
        terms,
        (int) Math.min(ceiling, terms.highestRung()),
        Span.ofMillis(Math.min(patience, site.viewers().longestPatienceMs())),
        key);
  }

  /** Blocked at the door: nothing was taken, and it may come again. */
  private void respondUnavailable(HttpServerRequest r, String why) {
    int ms = site.desk().adviceMs();
    if (ms > 0) {
      r.response()
          .putHeader("Retry-After", Integer.toString((ms + 999) / 1000))
          .putHeader("Retry-After-Ms", Integer.toString(ms));
    }
    respondError(r, 503, why);
  }

  private static long parseWholeNumber(String text, long absent) {
    if (text == null) {
      return absent;
    }
    return WHOLE_NUMBER.matcher(text).matches() ? Long.parseLong(text) : -1;
  }

  private void serveViewing(HttpServerRequest r, ViewerConnection c, String id, String rest) {
    HttpViewer viewer = front.activeViewings().get(id);
    if (viewer == null) {
      Viewer.End how = front.activeViewings().endReason(id);
      respondError(r, how == null ? 404 : 410, how == null ? "no such viewing" : "ended: " + how);
      return;
    }
    if (r.method() == HttpMethod.DELETE && rest.isEmpty()) {
      front.runOnSessionLoop(() -> viewer.viewing().viewerLeft());
      r.response().setStatusCode(204).end();
    } else if (r.method() != HttpMethod.GET) {
      respondError(r, 405, "only GET, and DELETE of a whole viewing");
    } else {
      String at = rest.equals("media.m3u8") ? rest : Paths.at(rest);
      if (at == null) {
        respondError(r, 404, "no such thing");
      } else {
        relay.relay(r, c, viewer, id, at);
      }
    }
  }
}
