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
import linengauge.Deployment;
import linengauge.PackageSettings;
import linengauge.Span;
import linengauge.flow.ConnectionLedger;
import linengauge.hls.Paths;
import linengauge.net.RateLimitedLog;
import linengauge.net.WallClock;
import linengauge.session.Session;
import linengauge.session.Viewer;
import linengauge.site.Site;
import linengauge.vrrp.RouterSettings;
import linengauge.vrrp.udp.AddressLease;
import org.slf4j.LoggerFactory;

/**
 * Listener for viewers on one event loop (docs/protocol/viewer.md). The site file sets how many of
 * these share the address.
 */
final class Listener extends VerticleBase {
  private static final Pattern IDENTIFIER = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
  private static final Pattern WHOLE_NUMBER = Pattern.compile("[0-9]{1,9}");

  private final FrontServer front;
  private final Site site;
  private final Deployment deployment;
  private final Map<String, Integer> packageNumbers;
  private final Map<String, Site.TitleCells> cellsByTitle;
  private final RateLimitedLog log = new RateLimitedLog(LoggerFactory.getLogger(Listener.class));
  private EventLoops eventLoop;
  private HttpClient mediaClient;
  private MediaRelay relay;
  private Context loopContext;

  Listener(FrontServer front, Deployment deployment) {
    this.front = front;
    this.site = front.site();
    this.deployment = deployment;
    this.packageNumbers = site.packageNumbers();
    this.cellsByTitle = site.titleCells();
  }

  @Override
  public Future<?> start() {
    loopContext = context;
    // What has been read when a transfer is paused stays with the library. That is one read, so the
    // size of a read is limited.
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
    for (Site.Router router : site.vrrp().routers()) {
      if (router.viewers() != null
          && (router.accept() || router.priority() == RouterSettings.OWNER_PRIORITY)) {
        open.add(listen(router.viewers(), front.addressLease(router.vrid())));
      }
    }
    return Future.all(open);
  }

  /**
   * Listens on one address. At a shared address requests are accepted only while the lease holds.
   */
  private Future<?> listen(String address, AddressLease lease) {
    Site.Viewers limits = site.viewers();
    Site.Address socketAddress = Site.Address.parse(address);
    HttpServer server =
        vertx.createHttpServer(
            new HttpServerOptions()
                .setMaxInitialLineLength(limits.requestLineBytes())
                .setMaxHeaderSize(limits.headerBytes())
                .setAcceptBacklog(limits.backlog())
                .setTcpNoDelay(true)
                // Bytes in the system's buffers cannot be accounted for, so these are limited.
                .setSendBufferSize(limits.sendBufferBytes())
                // Otherwise a connection is reported only with its first bytes.
                .setHttp2ClearTextEnabled(false));
    server.connectionHandler(connection -> accept(connection, lease));
    server.invalidRequestHandler(
        request ->
            respondError(
                request,
                request.decoderResult().cause()
                        instanceof io.netty.handler.codec.http.TooLongHttpLineException
                    ? 414
                    : request.decoderResult().cause()
                            instanceof io.netty.handler.codec.http.TooLongHttpHeaderException
                        ? 431
                        : 400,
                "not a request that can be read"));
    server.requestHandler(this::handle);
    return server
        .listen(socketAddress.port(), socketAddress.host())
        .recover(e -> Future.failedFuture("viewers' listener " + address + ": " + e.getMessage()));
  }

  @Override
  public Future<?> stop() {
    return mediaClient.close();
  }

  private final Map<HttpConnection, ViewerConnection> connections = new HashMap<>();

  /** Called when a shared address has moved to another front. */
  void addressLost(AddressLease lease) {
    loopContext.runOnContext(
        v -> {
          for (ViewerConnection connection : List.copyOf(connections.values())) {
            if (connection.lease() == lease) {
              connection.addressLost();
            }
          }
        });
  }

  private void accept(HttpConnection connection, AddressLease lease) {
    String address = connection.remoteAddress().hostAddress();
    ConnectionLedger.Admission entry = front.admission().admit(address);
    if (entry == ConnectionLedger.Admission.DROPPED) {
      connection.close();
      return;
    }
    ViewerConnection viewerConnection =
        new ViewerConnection(connection, entry, lease, eventLoop, front, log);
    connections.put(connection, viewerConnection);
    connection.closeHandler(
        v -> {
          connections.remove(connection);
          front.admission().release(address, entry);
          viewerConnection.connectionClosed();
        });
  }

  private void respondError(HttpServerRequest request, int status, String message) {
    if (!request.response().ended() && !request.response().closed()) {
      request
          .response()
          .setStatusCode(status)
          .putHeader("Content-Type", "text/plain; charset=utf-8");
      if (status == 405) {
        request.response().putHeader("Allow", "GET, DELETE");
      }
      if (status == 400 || status == 414 || status == 429 || status == 431 || status == 503) {
        request.response().putHeader("Connection", "close");
      }
      request.response().end(message + "\n");
    }
  }

  private void handle(HttpServerRequest request) {
    ViewerConnection connection = connections.get(request.connection());
    if (connection == null) {
      return; // the connection has closed meanwhile
    }
    trackResponse(request, connection);
    if (!connection.requestReceived()) {
      respondError(request, 429, "too many requests wait on this connection");
    } else if (connection.lease() != null && !connection.lease().isHeld()) {
      // No request is accepted; a response says more than a reset.
      respondUnavailable(request, "the address is another front's: come again");
    } else if (connection.isRejected()) {
      respondUnavailable(request, "no place: come again");
    } else if (countHeaderLines(request) > site.viewers().headerCount()) {
      respondError(request, 431, "more than " + site.viewers().headerCount() + " headers");
    } else {
      route(request, connection);
    }
  }

  /**
   * Notifies the connection once: when this request is answered, or when the connection has closed.
   */
  private static void trackResponse(HttpServerRequest request, ViewerConnection connection) {
    boolean[] ended = {false};
    Runnable onEnd =
        () -> {
          if (!ended[0]) {
            ended[0] = true;
            connection.responseEnded();
          }
        };
    request.response().endHandler(v -> onEnd.run());
    request.response().closeHandler(v -> onEnd.run());
  }

  /** Counts header lines one by one, as size() counts a repeated name only once. */
  private static int countHeaderLines(HttpServerRequest request) {
    int count = 0;
    for (var entries = request.headers().iterator(); entries.hasNext(); entries.next()) {
      count++;
    }
    return count;
  }

  private void route(HttpServerRequest request, ViewerConnection connection) {
    String path = request.path() == null ? "" : request.path();
    if (path.startsWith("/v/")) {
      int slash = path.indexOf('/', 3);
      String id = slash < 0 ? path.substring(3) : path.substring(3, slash);
      serveViewing(request, connection, id, slash < 0 ? "" : path.substring(slash + 1));
    } else if (path.startsWith("/titles/") && path.endsWith("/main.m3u8")) {
      if (request.method() == HttpMethod.GET) {
        requestViewing(
            request,
            connection,
            path.substring("/titles/".length(), path.length() - "/main.m3u8".length()));
      } else {
        respondError(request, 405, "only GET");
      }
    } else {
      respondError(request, 404, "no such thing");
    }
  }

  private void requestViewing(
      HttpServerRequest request, ViewerConnection connection, String title) {
    Session.SessionRequest viewingRequest = parseRequest(request, title);
    if (viewingRequest == null) {
      return; // the request is invalid and has been answered
    }
    if (!front.admission().allowsRequest(viewingRequest.key(), WallClock.now())) {
      respondUnavailable(request, "blocked: this key asks too often");
      return;
    }
    HttpViewer viewer =
        new HttpViewer(
            loopContext,
            request.response(),
            front.activeViewings(),
            site.bytesOf(viewingRequest.packageIndex(), 0),
            connection.lease() == null ? "" : "http://" + site.front().viewers());
    request.response().exceptionHandler(e -> {});
    if (!front.submitRequest(
        () -> viewer.viewing(front.sessionManager().accept(viewingRequest, viewer)))) {
      respondUnavailable(request, "blocked: too many ask at once");
      return;
    }
    connection.onDisconnect(
        () -> front.runOnSessionLoop(() -> cancelUnlessPlaying(viewer.viewing())));
  }

  private static void cancelUnlessPlaying(Session viewing) {
    if (viewing != null && !viewing.isPlaying()) {
      viewing.viewerLeft();
    }
  }

  /** Parses a request for a viewing; null where it was invalid and has been answered. */
  private Session.SessionRequest parseRequest(HttpServerRequest request, String title) {
    String packageName = request.getParam("package");
    Integer packageNumber = packageName == null ? null : packageNumbers.get(packageName);
    String key = request.getParam("key");
    if (!IDENTIFIER.matcher(title).matches() || key != null && !IDENTIFIER.matcher(key).matches()) {
      respondError(
          request, 400, "title and key are of letters, digits, '.', '_' and '-', 64 at most");
      return null;
    }
    if (packageNumber == null) {
      respondError(request, 400, "package names none of this site");
      return null;
    }
    PackageSettings settings = deployment.packages().get(packageNumber);
    long ceiling = parseWholeNumber(request.getParam("ceiling"), settings.highestRung());
    long timeLimitMs =
        parseWholeNumber(request.getParam("patience"), site.viewers().longestPatienceMs());
    if (ceiling < 0 || timeLimitMs <= 0) {
      respondError(
          request,
          400,
          "ceiling and patience are whole numbers, patience in milliseconds and over 0");
      return null;
    }
    Site.TitleCells titleCells = cellsByTitle.get(title);
    if (titleCells == null && !site.titles().anywhere()) {
      respondError(request, 404, "no such title");
      return null;
    }
    return new Session.SessionRequest(
        title,
        titleCells == null ? 0 : titleCells.first(),
        titleCells == null ? 0 : titleCells.inRow(),
        packageNumber,
        settings,
        (int) Math.min(ceiling, settings.highestRung()),
        Span.ofMillis(Math.min(timeLimitMs, site.viewers().longestPatienceMs())),
        key);
  }

  /**
   * Answers 503 with advice on when to retry. Nothing was accepted, so that a retry is harmless.
   */
  private void respondUnavailable(HttpServerRequest request, String message) {
    int retryAfterMs = site.desk().adviceMs();
    if (retryAfterMs > 0) {
      request
          .response()
          .putHeader("Retry-After", Integer.toString((retryAfterMs + 999) / 1000))
          .putHeader("Retry-After-Ms", Integer.toString(retryAfterMs));
    }
    respondError(request, 503, message);
  }

  private static long parseWholeNumber(String text, long defaultValue) {
    if (text == null) {
      return defaultValue;
    }
    return WHOLE_NUMBER.matcher(text).matches() ? Long.parseLong(text) : -1;
  }

  private void serveViewing(
      HttpServerRequest request, ViewerConnection connection, String id, String resource) {
    HttpViewer viewer = front.activeViewings().get(id);
    if (viewer == null) {
      Viewer.EndReason endReason = front.activeViewings().endReason(id);
      respondError(
          request,
          endReason == null ? 404 : 410,
          endReason == null ? "no such viewing" : "ended: " + endReason);
      return;
    }
    if (request.method() == HttpMethod.DELETE && resource.isEmpty()) {
      front.runOnSessionLoop(() -> viewer.viewing().viewerLeft());
      request.response().setStatusCode(204).end();
    } else if (request.method() != HttpMethod.GET) {
      respondError(request, 405, "only GET, and DELETE of a whole viewing");
    } else {
      String path = resource.equals("media.m3u8") ? resource : Paths.boxPath(resource);
      if (path == null) {
        respondError(request, 404, "no such thing");
      } else {
        relay.relay(request, connection, viewer, id, path);
      }
    }
  }
}
