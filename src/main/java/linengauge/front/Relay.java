package linengauge.front;

import io.netty.channel.Channel;
import io.netty.util.AttributeKey;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.HttpClientResponse;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.HttpServerResponse;
import io.vertx.core.http.RequestOptions;
import io.vertx.core.net.impl.ConnectionBase;
import java.util.List;
import java.util.Set;
import linengauge.carry.Sparse;
import linengauge.carry.Wall;
import linengauge.flow.Account;
import linengauge.hls.MalformedPlaylistException;
import linengauge.hls.Paths;
import linengauge.hls.Playlists;
import linengauge.site.Site;

/**
 * Bytes of viewings that play, from box to viewer on the loop of the viewer's connection. Nothing
 * is read from a box that its viewer has not room for; playlists alone are held whole, up to the
 * site file's bound.
 */
final class Relay {
  /** Requests of one viewing at a time; a player fetches a playlist beside a segment or two. */
  private static final List<String> PASSED_ON =
      List.of(
          "Content-Type",
          "Content-Length",
          "Content-Range",
          "Accept-Ranges",
          "ETag",
          "Last-Modified",
          "Cache-Control");

  /** Answers of a box that go to the viewer as they are. */
  private static final Set<Integer> PASSED_STATUSES = Set.of(200, 206, 304, 404, 416);

  private static final List<String> ASKED_ON = List.of("Range", "If-Range", "Accept");

  private static final AttributeKey<Object> USER = AttributeKey.valueOf("linengauge.transfer");

  private final FrontProgram program;
  private final Site site;
  private final HttpClient client;
  private final Vertx vertx;
  private final Loops here;
  private final Sparse log;

  Relay(FrontProgram program, HttpClient client, Vertx vertx, Loops here, Sparse log) {
    this.program = program;
    this.site = program.site();
    this.client = client;
    this.vertx = vertx;
    this.here = here;
    this.log = log;
  }

  void relay(HttpServerRequest asked, Caller caller, ViewerEnd viewer, String id, String at) {
    ViewerEnd.Route route = viewer.route();
    if (route == null) {
      fail(asked.response(), 410, "ended");
      return;
    }
    if (viewer.underWay().incrementAndGet() > site.viewers().atOnce()) {
      viewer.underWay().decrementAndGet();
      fail(asked.response(), 429, "too many requests of one viewing at once");
      return;
    }
    if (here.watch().isFull()) {
      viewer.underWay().decrementAndGet();
      asked.response().putHeader("Retry-After", "1");
      fail(asked.response(), 503, "too many transfers at once");
      return;
    }
    viewer.asked();
    new Pass(asked, caller, viewer, id, at).start(route);
  }

  private static void fail(HttpServerResponse to, int status, String why) {
    if (!to.ended() && !to.closed()) {
      to.setStatusCode(status)
          .putHeader("Content-Type", "text/plain; charset=utf-8")
          .end(why + "\n");
    }
  }

  /** One request of a viewer, answered by its box. */
  private final class Pass implements Account.Peer {
    private final Caller caller;
    private final Account box;
    private final HttpServerRequest asked;
    private final HttpServerResponse to;
    private final ViewerEnd viewer;
    private final String id;
    private final String at;
    private HttpClientRequest request;
    private Channel channel;
    private HttpClientResponse response;
    private long heardAt = Wall.micros();
    private boolean answered;
    private boolean paused;
    private boolean over;
    private long timer = -1;
    private Buffer playlist;

    private Pass(HttpServerRequest asked, Caller caller, ViewerEnd viewer, String id, String at) {
      this.caller = caller;
      this.box = here.watch().open(Account.Side.BOX, this);
      this.asked = asked;
      this.to = asked.response();
      this.viewer = viewer;
      this.id = id;
      this.at = at;
    }

    private void start(ViewerEnd.Route route) {
      asked.connection().exceptionHandler(e -> {});
      to.exceptionHandler(e -> end());
      to.closeHandler(v -> end());
      listen(site.boxes().firstByteMs());
      caller.takes(viewer, this::goOn);
      caller.account().begins(site.flow().viewerShare() * viewer.lowestBytes());
      box.begins(site.flow().boxShare() * viewer.rungBytes());
      box.wanted(true);
      client
          .request(
              new RequestOptions()
                  .setMethod(HttpMethod.GET)
                  .setHost(route.host())
                  .setPort(route.port())
                  .setURI("/viewings/" + id + "/" + at)
                  .setConnectTimeout(site.boxes().connectMs()))
          .onFailure(e -> broken(502, "the media box cannot be reached"))
          .onSuccess(
              q -> {
                if (over) {
                  q.reset();
                  return;
                }
                request = q;
                channel = ((ConnectionBase) q.connection()).channel();
                channel.attr(USER).set(this);
                read(true);
                q.exceptionHandler(e -> {}); // what fails is told by the futures
                for (String name : ASKED_ON) {
                  if (asked.headers().contains(name)) {
                    q.putHeader(name, asked.headers().get(name));
                  }
                }
                q.send()
                    .onSuccess(this::onResponse)
                    .onFailure(e -> broken(502, "the media box broke off"));
              });
    }

    /**
     * A box that sends nothing while its viewer would read is given up; a viewer that reads nothing
     * is not its fault.
     */
    private void listen(long ms) {
      timer =
          vertx.setTimer(
              Math.max(1, ms),
              t -> {
                timer = -1;
                long quiet = (Wall.micros() - heardAt) / 1000;
                long bound = answered ? site.boxes().mediaSilenceMs() : site.boxes().firstByteMs();
                if (over) {
                  return;
                }
                if (!paused && quiet >= bound) {
                  broken(504, "the media box sends nothing");
                } else if (paused && viewer.route() == null) {
                  broken(410, "ended");
                } else {
                  listen(paused ? bound : bound - quiet);
                }
              });
    }

    private void onResponse(HttpClientResponse r) {
      if (over) {
        return;
      }
      answered = true;
      heardAt = Wall.micros();
      int status = r.statusCode();
      if (status == 404 && at.equals("media.m3u8") || status == 410) {
        program.onDesk(() -> viewer.held().boxLost());
        broken(410, "the media box has lost the viewing");
      } else if (!PASSED_STATUSES.contains(status)) {
        broken(502, "the media box answers " + status);
      } else {
        response = r;
        r.exceptionHandler(e -> broken(502, "the media box broke off"));
        if (status == 200 && at.endsWith(".m3u8")) {
          playlist = Buffer.buffer();
          r.handler(this::more);
          r.endHandler(v -> rewrite());
        } else {
          passOn(r);
        }
      }
    }

    /** Everything but a playlist goes to the viewer as it comes. */
    private void passOn(HttpClientResponse r) {
      to.setStatusCode(r.statusCode());
      for (String name : PASSED_ON) {
        if (r.headers().contains(name)) {
          to.putHeader(name, r.headers().get(name));
        }
      }
      if (!r.headers().contains("Content-Length")) {
        to.setChunked(true);
      }
      to.setWriteQueueMaxSize(site.viewers().writeBufferBytes());
      r.handler(bytes -> passOn(r, bytes));
      r.endHandler(
          v -> {
            if (!over) {
              finish();
              to.end();
            }
          });
    }

    /** Passes bytes on, and holds the box back where the viewer does not take them. */
    private void passOn(HttpClientResponse r, Buffer bytes) {
      heardAt = Wall.micros();
      viewer.asked();
      box.came(bytes.length());
      to.write(bytes);
      if (caller.account().queued(bytes.length()) || to.writeQueueFull()) {
        paused = true;
        box.wanted(false);
        r.pause();
        read(false);
        to.drainHandler(v -> goOn());
      }
    }

    /**
     * Whether anything more is read from the box's connection. The library goes on reading for a
     * transfer that is held back, until a queue of its own is full: a thousand of them filled the
     * heap. Only for the connection's present user: one whose answer has come whole may be held
     * back while another already uses it.
     */
    private void read(boolean on) {
      if (channel != null && channel.attr(USER).get() == this) {
        channel.config().setAutoRead(on);
      }
    }

    /** The viewer has taken what waited, or the pool has come to have something for it. */
    @Override
    public void goOn() {
      if (paused && !over && caller.account().drained() && !to.writeQueueFull()) {
        paused = false;
        heardAt = Wall.micros();
        viewer.asked();
        box.wanted(true);
        read(true);
        response.resume();
      }
    }

    @Override
    public void moved() {
      // a box that brings is heard by the handler of its bytes
    }

    @Override
    public long waiting() {
      return 0; // a box brings; what waits is its viewer's
    }

    @Override
    public void letGo(Account account) {
      log.warn("box let go", viewer.held().id(), Caller.figures(account));
      program.onDesk(() -> viewer.held().boxLost());
      broken(504, "the media box brings too little");
    }

    private void more(Buffer b) {
      box.came(b.length());
      heardAt = Wall.micros();
      playlist.appendBuffer(b);
      if (playlist.length() > site.boxes().playlistBytes()) {
        broken(502, "the media box sends a playlist that is too long");
      }
    }

    private void rewrite() {
      if (over) {
        return;
      }
      try {
        String base = at.contains("/") ? at.substring(0, at.lastIndexOf('/') + 1) : "";
        String text = Playlists.media(playlist.getBytes(), uri -> Paths.viewingPath(id, base, uri));
        caller.account().queued(text.length());
        finish();
        to.putHeader("Content-Type", "application/vnd.apple.mpegurl")
            .putHeader("Cache-Control", "no-store")
            .end(text);
      } catch (MalformedPlaylistException e) {
        broken(502, "the media box sends a broken playlist: " + e.getMessage());
      }
    }

    /**
     * The box has failed this request: said so where nothing was sent yet, else the connection
     * breaks.
     */
    private void broken(int status, String why) {
      if (over) {
        return;
      }
      finish();
      if (request != null) {
        request.reset();
      }
      if (to.headWritten()) {
        asked.connection().close();
      } else {
        fail(to, status, why);
      }
    }

    /** The viewer has broken off. */
    private void end() {
      if (!over) {
        finish();
        if (request != null) {
          request.reset();
        }
      }
    }

    private void finish() {
      over = true;
      read(true);
      viewer.underWay().decrementAndGet();
      box.close();
      caller.account().ends();
      if (timer >= 0) {
        vertx.cancelTimer(timer);
      }
    }
  }
}
