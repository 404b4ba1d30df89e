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
final class Door extends VerticleBase {
  private static final Pattern NAME = Pattern.compile("[A-Za-z0-9][A-Za-z0-9._-]{0,63}");
  private static final Pattern WHOLE = Pattern.compile("[0-9]{1,9}");

  private final FrontProgram program;
  private final Site site;
  private final Headend house;
  private final Map<String, Integer> packages;
  private final Map<String, Site.TitleCells> cells;
  private final Sparse log = new Sparse(LoggerFactory.getLogger(Door.class));
  private Loops here;
  private HttpClient media;
  private Relay relay;
  private Context loop;

  Door(FrontProgram program, Headend house) {
    this.program = program;
    this.site = program.site();
    this.house = house;
    this.packages = site.packageNumbers();
    this.cells = site.titleCells();
  }

  @Override
  public Future<?> start() {
    loop = context;
    // What has been read when a transfer is held back stays with the library: one read, so a read
    // is bounded.
    media =
        BoxCalls.client(
            vertx,
            site,
            site.boxes().mediaConnections(),
            site.boxes().waitingMedia(),
            site.boxes().readBytes());
    here = new Loops(vertx, site);
    program.loops().add(here);
    relay = new Relay(program, media, vertx, here, log);
    List<Future<?>> open = new ArrayList<>();
    open.add(listen(site.front().viewers(), null));
    for (Site.Router r : site.vrrp().routers()) {
      if (r.viewers() != null && (r.accept() || r.priority() == RouterTerms.OWNER)) {
        open.add(listen(r.viewers(), program.lease(r.vrid())));
      }
    }
    return Future.all(open);
  }

  /** Opens one way in; where it is that of a shared address, it is open while the lease holds. */
  private Future<?> listen(String address, Lease lease) {
    Site.Viewers v = site.viewers();
    Site.Address at = Site.Address.parse(address);
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
    server.connectionHandler(c -> connected(c, lease));
    server.invalidRequestHandler(
        r ->
            refuse(
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
    return media.close();
  }

  private final Map<HttpConnection, Caller> callers = new HashMap<>();

  /** A shared address is another front's now. */
  void gaveUp(Lease lease) {
    loop.runOnContext(
        v -> {
          for (Caller c : List.copyOf(callers.values())) {
            if (c.lease() == lease) {
              c.gaveUp();
            }
          }
        });
  }

  private void connected(HttpConnection connection, Lease lease) {
    String address = connection.remoteAddress().hostAddress();
    DoorBook.Entry entry = program.gate().enters(address);
    if (entry == DoorBook.Entry.SHUT_OUT) {
      connection.close();
      return;
    }
    Caller c = new Caller(connection, entry, lease, here, program, log);
    callers.put(connection, c);
    connection.closeHandler(
        v -> {
          callers.remove(connection);
          program.gate().leaves(address, entry);
          c.closed();
        });
  }

  private void refuse(HttpServerRequest r, int status, String why) {
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
    Caller c = callers.get(r.connection());
    if (c == null) {
      return; // closed meanwhile
    }
    tellAnswered(r, c);
    if (!c.asked()) {
      refuse(r, 429, "too many requests wait on this connection");
    } else if (c.lease() != null && !c.lease().holds()) {
      // nothing is taken; a break would tell less
      blocked(r, "the address is another front's: come again");
    } else if (c.isTurnedAway()) {
      blocked(r, "no place: come again");
    } else if (headerLines(r) > site.viewers().headerCount()) {
      refuse(r, 431, "more than " + site.viewers().headerCount() + " headers");
    } else {
      route(r, c);
    }
  }

  /** The caller is told once that this request is answered, or that its connection has closed. */
  private static void tellAnswered(HttpServerRequest r, Caller c) {
    boolean[] over = {false};
    Runnable end =
        () -> {
          if (!over[0]) {
            over[0] = true;
            c.answered();
          }
        };
    r.response().endHandler(v -> end.run());
    r.response().closeHandler(v -> end.run());
  }

  /** One by one: size() counts a name that comes again once. */
  private static int headerLines(HttpServerRequest r) {
    int lines = 0;
    for (var i = r.headers().iterator(); i.hasNext(); i.next()) {
      lines++;
    }
    return lines;
  }

  private void route(HttpServerRequest r, Caller c) {
    String path = r.path() == null ? "" : r.path();
    if (path.startsWith("/v/")) {
      int slash = path.indexOf('/', 3);
      String id = slash < 0 ? path.substring(3) : path.substring(3, slash);
      viewing(r, c, id, slash < 0 ? "" : path.substring(slash + 1));
    } else if (path.startsWith("/titles/") && path.endsWith("/main.m3u8")) {
      if (r.method() == HttpMethod.GET) {
        join(r, c, path.substring("/titles/".length(), path.length() - "/main.m3u8".length()));
      } else {
        refuse(r, 405, "only GET");
      }
    } else {
      refuse(r, 404, "no such thing");
    }
  }

  private void join(HttpServerRequest r, Caller c, String title) {
    Held.Ask ask = readAsk(r, title);
    if (ask == null) {
      return; // refused
    }
    if (!program.gate().asks(ask.key(), Wall.now())) {
      blocked(r, "blocked: this key asks too often");
      return;
    }
    ViewerEnd end =
        new ViewerEnd(
            loop,
            r.response(),
            program.routes(),
            site.bytesOf(ask.pack(), 0),
            c.lease() == null ? "" : "http://" + site.front().viewers());
    r.response().exceptionHandler(e -> {});
    if (!program.askOnDesk(() -> end.held(program.core().take(ask, end)))) {
      blocked(r, "blocked: too many ask at once");
      return;
    }
    c.waits(() -> program.onDesk(() -> leaveUnlessPlaying(end.held())));
  }

  private static void leaveUnlessPlaying(Held held) {
    if (held != null && !held.isPlaying()) {
      held.viewerLeft();
    }
  }

  /** What is asked for; null where that was refused. */
  private Held.Ask readAsk(HttpServerRequest r, String title) {
    String pack = r.getParam("package");
    Integer number = pack == null ? null : packages.get(pack);
    String key = r.getParam("key");
    if (!NAME.matcher(title).matches() || key != null && !NAME.matcher(key).matches()) {
      refuse(r, 400, "title and key are of letters, digits, '.', '_' and '-', 64 at most");
      return null;
    }
    if (number == null) {
      refuse(r, 400, "package names none of this site");
      return null;
    }
    PackageTerms terms = house.packages().get(number);
    long ceiling = whole(r.getParam("ceiling"), terms.highestRung());
    long patience = whole(r.getParam("patience"), site.viewers().longestPatienceMs());
    if (ceiling < 0 || patience <= 0) {
      refuse(r, 400, "ceiling and patience are whole numbers, patience in milliseconds and over 0");
      return null;
    }
    Site.TitleCells where = cells.get(title);
    if (where == null && !site.titles().anywhere()) {
      refuse(r, 404, "no such title");
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
  private void blocked(HttpServerRequest r, String why) {
    int ms = site.desk().adviceMs();
    if (ms > 0) {
      r.response()
          .putHeader("Retry-After", Integer.toString((ms + 999) / 1000))
          .putHeader("Retry-After-Ms", Integer.toString(ms));
    }
    refuse(r, 503, why);
  }

  private static long whole(String text, long absent) {
    if (text == null) {
      return absent;
    }
    return WHOLE.matcher(text).matches() ? Long.parseLong(text) : -1;
  }

  private void viewing(HttpServerRequest r, Caller c, String id, String rest) {
    ViewerEnd viewer = program.routes().get(id);
    if (viewer == null) {
      Viewer.End how = program.routes().howEnded(id);
      refuse(r, how == null ? 404 : 410, how == null ? "no such viewing" : "ended: " + how);
      return;
    }
    if (r.method() == HttpMethod.DELETE && rest.isEmpty()) {
      program.onDesk(() -> viewer.held().viewerLeft());
      r.response().setStatusCode(204).end();
    } else if (r.method() != HttpMethod.GET) {
      refuse(r, 405, "only GET, and DELETE of a whole viewing");
    } else {
      String at = rest.equals("media.m3u8") ? rest : Paths.boxPath(rest);
      if (at == null) {
        refuse(r, 404, "no such thing");
      } else {
        relay.relay(r, c, viewer, id, at);
      }
    }
  }
}
