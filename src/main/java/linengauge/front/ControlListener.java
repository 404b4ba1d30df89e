package linengauge.front;

import io.vertx.core.Future;
import io.vertx.core.Vertx;
import io.vertx.core.http.HttpConnection;
import io.vertx.core.http.HttpServer;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import linengauge.site.Site;

/** HTTP listener for operators: serves the front's state and its readiness. */
final class ControlListener {
  private final Vertx vertx;
  private final Site site;
  private final Consumer<HttpServerRequest> stateHandler;
  private final BooleanSupplier ready;

  /**
   * Connections that may still be accepted. They are counted apart from viewers' connections, so
   * that viewers cannot use them up.
   */
  private int freeConnections;

  /**
   * @param stateHandler answers a request for the front's state
   */
  ControlListener(
      Vertx vertx, Site site, Consumer<HttpServerRequest> stateHandler, BooleanSupplier ready) {
    this.vertx = vertx;
    this.site = site;
    this.stateHandler = stateHandler;
    this.ready = ready;
    this.freeConnections = site.control().connections();
  }

  Future<?> open() {
    Site.Address address = Site.Address.parse(site.front().control());
    Site.Control control = site.control();
    HttpServer server =
        vertx.createHttpServer(
            new HttpServerOptions()
                .setMaxInitialLineLength(control.requestLineBytes())
                .setMaxHeaderSize(control.headerBytes())
                .setIdleTimeoutUnit(TimeUnit.MILLISECONDS)
                .setIdleTimeout(control.idleMs())
                .setHttp2ClearTextEnabled(false));
    server.connectionHandler(this::accept);
    server.requestHandler(this::handle);
    return server
        .listen(address.port(), address.host())
        .recover(
            e ->
                Future.failedFuture(
                    "control listener " + site.front().control() + ": " + e.getMessage()));
  }

  private void accept(HttpConnection connection) {
    if (freeConnections == 0) {
      connection.close();
      return;
    }
    freeConnections--;
    connection.closeHandler(v -> freeConnections++);
  }

  private void handle(HttpServerRequest request) {
    switch (request.method() + " " + request.path()) {
      case "GET /state" -> stateHandler.accept(request);
      case "GET /ready" -> {
        boolean isReady = ready.getAsBoolean();
        request
            .response()
            .setStatusCode(isReady ? 200 : 503)
            .end(isReady ? "ready\n" : "not ready\n");
      }
      default -> request.response().setStatusCode(404).end("no such thing\n");
    }
  }
}
