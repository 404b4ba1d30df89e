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
import linengauge.flow.PeerTraffic;
import linengauge.hls.MalformedPlaylistException;
import linengauge.hls.Paths;
import linengauge.hls.Playlists;
import linengauge.net.RateLimitedLog;
import linengauge.net.WallClock;
import linengauge.site.Site;

/**
 * Relays the bytes of viewings from box to viewer, on the event loop of the viewer's connection. No
 * more is read from a box than its viewer has room for. Only playlists are buffered whole, up to
 * the limit of the site file.
 */
final class MediaRelay {
  /** Headers of a box's response that are passed on to the viewer. */
  private static final List<String> RESPONSE_HEADERS =
      List.of(
          "Content-Type",
          "Content-Length",
          "Content-Range",
          "Accept-Ranges",
          "ETag",
          "Last-Modified",
          "Cache-Control");

  /** Statuses of a box's response that are passed on to the viewer. */
  private static final Set<Integer> RELAYED_STATUSES = Set.of(200, 206, 304, 404, 416);

  /** Headers of the viewer's request that are passed on to the box. */
  private static final List<String> REQUEST_HEADERS = List.of("Range", "If-Range", "Accept");

  /** The transfer that uses a box's connection now. */
  private static final AttributeKey<Object> CURRENT_TRANSFER =
      AttributeKey.valueOf("linengauge.transfer");

  private final FrontServer front;
  private final Site site;
  private final HttpClient client;
  private final Vertx vertx;
  private final EventLoops eventLoop;
  private final RateLimitedLog log;

  MediaRelay(
      FrontServer front, HttpClient client, Vertx vertx, EventLoops eventLoop, RateLimitedLog log) {
    this.front = front;
    this.site = front.site();
    this.client = client;
    this.vertx = vertx;
    this.eventLoop = eventLoop;
    this.log = log;
  }

  void relay(
      HttpServerRequest viewerRequest,
      ViewerConnection connection,
      HttpViewer viewer,
      String id,
      String path) {
    HttpViewer.Route route = viewer.route();
    if (route == null) {
      respondError(viewerRequest.response(), 410, "ended");
      return;
    }
    // A player fetches a playlist beside a segment or two, so a few transfers at once are allowed.
    if (viewer.activeTransfers().incrementAndGet() > site.viewers().atOnce()) {
      viewer.activeTransfers().decrementAndGet();
      respondError(viewerRequest.response(), 429, "too many requests of one viewing at once");
      return;
    }
    if (eventLoop.slowPeers().isFull()) {
      viewer.activeTransfers().decrementAndGet();
      viewerRequest.response().putHeader("Retry-After", "1");
      respondError(viewerRequest.response(), 503, "too many transfers at once");
      return;
    }
    viewer.recordActivity();
    new Transfer(viewerRequest, connection, viewer, id, path).start(route);
  }

  private static void respondError(HttpServerResponse response, int status, String message) {
    if (!response.ended() && !response.closed()) {
      response
          .setStatusCode(status)
          .putHeader("Content-Type", "text/plain; charset=utf-8")
          .end(message + "\n");
    }
  }

  /** One media request of a viewer, answered by its box. */
  private final class Transfer implements PeerTraffic.Peer {
    private final ViewerConnection connection;
    private final PeerTraffic boxAccount;
    private final HttpServerRequest viewerRequest;
    private final HttpServerResponse viewerResponse;
    private final HttpViewer viewer;
    private final String id;
    private final String path;
    private HttpClientRequest boxRequest;
    private Channel boxChannel;
    private HttpClientResponse boxResponse;
    private long lastProgressMicros = WallClock.micros();
    private boolean responseReceived;
    private boolean paused;
    private boolean finished;
    private long timerId = -1;
    private Buffer playlist;

    private Transfer(
        HttpServerRequest viewerRequest,
        ViewerConnection connection,
        HttpViewer viewer,
        String id,
        String path) {
      this.connection = connection;
      this.boxAccount = eventLoop.slowPeers().open(PeerTraffic.Side.BOX, this);
      this.viewerRequest = viewerRequest;
      this.viewerResponse = viewerRequest.response();
      this.viewer = viewer;
      this.id = id;
      this.path = path;
    }

    private void start(HttpViewer.Route route) {
      viewerRequest.connection().exceptionHandler(e -> {});
      viewerResponse.exceptionHandler(e -> viewerDisconnected());
      viewerResponse.closeHandler(v -> viewerDisconnected());
      watchSilence(site.boxes().firstByteMs());
      connection.startTransfer(viewer, this::resume);
      connection
          .account()
          .transferStarted(site.flow().viewerShare() * viewer.lowestBytesPerSecond());
      boxAccount.transferStarted(site.flow().boxShare() * viewer.rungBytesPerSecond());
      boxAccount.setBytesWanted(true);
      client
          .request(
              new RequestOptions()
                  .setMethod(HttpMethod.GET)
                  .setHost(route.host())
                  .setPort(route.port())
                  .setURI("/viewings/" + id + "/" + path)
                  .setConnectTimeout(site.boxes().connectMs()))
          .onFailure(e -> fail(502, "the media box cannot be reached"))
          .onSuccess(
              opened -> {
                if (finished) {
                  opened.reset();
                  return;
                }
                boxRequest = opened;
                boxChannel = ((ConnectionBase) opened.connection()).channel();
                boxChannel.attr(CURRENT_TRANSFER).set(this);
                setAutoRead(true);
                opened.exceptionHandler(e -> {}); // failures are reported by the futures
                for (String name : REQUEST_HEADERS) {
                  if (viewerRequest.headers().contains(name)) {
                    opened.putHeader(name, viewerRequest.headers().get(name));
                  }
                }
                opened
                    .send()
                    .onSuccess(this::onResponse)
                    .onFailure(e -> fail(502, "the media box broke off"));
              });
    }

    /**
     * Fails the transfer where the box sends nothing although its viewer would read. Silence while
     * the viewer reads nothing is not the box's fault.
     */
    private void watchSilence(long delayMs) {
      timerId =
          vertx.setTimer(
              Math.max(1, delayMs),
              t -> {
                timerId = -1;
                long silentMs = (WallClock.micros() - lastProgressMicros) / 1000;
                long limitMs =
                    responseReceived ? site.boxes().mediaSilenceMs() : site.boxes().firstByteMs();
                if (finished) {
                  return;
                }
                if (!paused && silentMs >= limitMs) {
                  fail(504, "the media box sends nothing");
                } else if (paused && viewer.route() == null) {
                  fail(410, "ended");
                } else {
                  watchSilence(paused ? limitMs : limitMs - silentMs);
                }
              });
    }

    private void onResponse(HttpClientResponse response) {
      if (finished) {
        return;
      }
      responseReceived = true;
      lastProgressMicros = WallClock.micros();
      int status = response.statusCode();
      if (status == 404 && path.equals("media.m3u8") || status == 410) {
        front.runOnSessionLoop(() -> viewer.viewing().boxLost());
        fail(410, "the media box has lost the viewing");
      } else if (!RELAYED_STATUSES.contains(status)) {
        fail(502, "the media box answers " + status);
      } else {
        boxResponse = response;
        response.exceptionHandler(e -> fail(502, "the media box broke off"));
        if (status == 200 && path.endsWith(".m3u8")) {
          playlist = Buffer.buffer();
          response.handler(this::appendPlaylist);
          response.endHandler(v -> sendPlaylist());
        } else {
          relayBody(response);
        }
      }
    }

    /** Relays any body but a playlist as it arrives. */
    private void relayBody(HttpClientResponse response) {
      viewerResponse.setStatusCode(response.statusCode());
      for (String name : RESPONSE_HEADERS) {
        if (response.headers().contains(name)) {
          viewerResponse.putHeader(name, response.headers().get(name));
        }
      }
      if (!response.headers().contains("Content-Length")) {
        viewerResponse.setChunked(true);
      }
      viewerResponse.setWriteQueueMaxSize(site.viewers().writeBufferBytes());
      response.handler(bytes -> relayChunk(response, bytes));
      response.endHandler(
          v -> {
            if (!finished) {
              finish();
              viewerResponse.end();
            }
          });
    }

    /** Relays a chunk, and pauses the box where the viewer does not keep up. */
    private void relayChunk(HttpClientResponse response, Buffer bytes) {
      lastProgressMicros = WallClock.micros();
      viewer.recordActivity();
      boxAccount.bytesReceived(bytes.length());
      viewerResponse.write(bytes);
      if (connection.account().bytesQueued(bytes.length()) || viewerResponse.writeQueueFull()) {
        paused = true;
        boxAccount.setBytesWanted(false);
        response.pause();
        setAutoRead(false);
        viewerResponse.drainHandler(v -> resume());
      }
    }

    /**
     * Sets whether the box's connection is read. Without this the library continues to read for a
     * paused transfer until a queue of its own is full: a thousand of them filled the heap. It
     * applies only to the connection's current transfer: one whose response has arrived whole may
     * be paused while another already uses the connection.
     */
    private void setAutoRead(boolean enabled) {
      if (boxChannel != null && boxChannel.attr(CURRENT_TRANSFER).get() == this) {
        boxChannel.config().setAutoRead(enabled);
      }
    }

    /** Resumes where the viewer has read the waiting bytes, or the buffer budget has room again. */
    @Override
    public void resume() {
      if (paused
          && !finished
          && connection.account().bytesDrained()
          && !viewerResponse.writeQueueFull()) {
        paused = false;
        lastProgressMicros = WallClock.micros();
        viewer.recordActivity();
        boxAccount.setBytesWanted(true);
        setAutoRead(true);
        boxResponse.resume();
      }
    }

    @Override
    public void progressed() {
      // progress of a box is recorded as its bytes arrive
    }

    @Override
    public long queuedBytes() {
      return 0; // waiting bytes belong to the viewer's account
    }

    @Override
    public void disconnect(PeerTraffic account) {
      log.warn("slow box abandoned", viewer.viewing().id(), ViewerConnection.describeRate(account));
      front.runOnSessionLoop(() -> viewer.viewing().boxLost());
      fail(504, "the media box brings too little");
    }

    private void appendPlaylist(Buffer chunk) {
      boxAccount.bytesReceived(chunk.length());
      lastProgressMicros = WallClock.micros();
      playlist.appendBuffer(chunk);
      if (playlist.length() > site.boxes().playlistBytes()) {
        fail(502, "the media box sends a playlist that is too long");
      }
    }

    private void sendPlaylist() {
      if (finished) {
        return;
      }
      try {
        String base = path.contains("/") ? path.substring(0, path.lastIndexOf('/') + 1) : "";
        String text = Playlists.media(playlist.getBytes(), uri -> Paths.viewingPath(id, base, uri));
        connection.account().bytesQueued(text.length());
        finish();
        viewerResponse
            .putHeader("Content-Type", "application/vnd.apple.mpegurl")
            .putHeader("Cache-Control", "no-store")
            .end(text);
      } catch (MalformedPlaylistException e) {
        fail(502, "the media box sends a broken playlist: " + e.getMessage());
      }
    }

    /**
     * Fails the transfer: with an error response where nothing was sent yet, else by closing the
     * connection.
     */
    private void fail(int status, String message) {
      if (finished) {
        return;
      }
      finish();
      if (boxRequest != null) {
        boxRequest.reset();
      }
      if (viewerResponse.headWritten()) {
        viewerRequest.connection().close();
      } else {
        respondError(viewerResponse, status, message);
      }
    }

    /** Called when the viewer has disconnected. */
    private void viewerDisconnected() {
      if (!finished) {
        finish();
        if (boxRequest != null) {
          boxRequest.reset();
        }
      }
    }

    private void finish() {
      finished = true;
      setAutoRead(true);
      viewer.activeTransfers().decrementAndGet();
      boxAccount.close();
      connection.account().transferEnded();
      if (timerId >= 0) {
        vertx.cancelTimer(timerId);
      }
    }
  }
}
