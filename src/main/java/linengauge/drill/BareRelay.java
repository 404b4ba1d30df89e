package linengauge.drill;

import io.vertx.core.DeploymentOptions;
import io.vertx.core.Future;
import io.vertx.core.VerticleBase;
import io.vertx.core.Vertx;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientOptions;
import io.vertx.core.http.HttpMethod;
import io.vertx.core.http.HttpServerOptions;
import io.vertx.core.http.HttpServerRequest;
import io.vertx.core.http.PoolOptions;
import io.vertx.core.http.RequestOptions;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Baseline of `drill relay`: a plain HTTP relay to one box that uses the same library and makes the
 * same calls as a front, but decides, keeps, limits and rewrites nothing.
 */
public final class BareRelay {
  private static final String SET_UP_BODY =
      "{\"front\":0,\"tuneIn\":0,\"title\":\"t\",\"package\":\"plain\",\"rung\":1}";

  private BareRelay() {}

  /** Starts listening; the relay runs until the process ends. */
  public static Future<?> start(String host, int port, int boxPort, int loops) {
    AtomicLong viewingNumber = new AtomicLong();
    return Vertx.vertx()
        .deployVerticle(
            () ->
                new VerticleBase() {
                  private HttpClient client;

                  @Override
                  public Future<?> start() {
                    client =
                        vertx.createHttpClient(
                            new HttpClientOptions().setTcpNoDelay(true),
                            new PoolOptions().setHttp1MaxSize(256).setMaxWaitQueueSize(4096));
                    return vertx
                        .createHttpServer(
                            new HttpServerOptions().setTcpNoDelay(true).setAcceptBacklog(1024))
                        .requestHandler(this::relay)
                        .listen(port, host);
                  }

                  private void relay(HttpServerRequest request) {
                    String path = request.path();
                    boolean isJoin = path.startsWith("/titles/");
                    HttpMethod method = isJoin ? HttpMethod.PUT : request.method();
                    String uri =
                        isJoin
                            ? "/viewings/" + viewingNumber.incrementAndGet()
                            : "/viewings/"
                                + path.substring("/v/".length()).replaceFirst("/m/", "/");
                    client
                        .request(
                            new RequestOptions()
                                .setMethod(method)
                                .setHost(host)
                                .setPort(boxPort)
                                .setURI(uri))
                        .compose(
                            boxRequest ->
                                isJoin
                                    ? boxRequest.send(Buffer.buffer(SET_UP_BODY))
                                    : boxRequest.send())
                        .onSuccess(
                            boxResponse -> {
                              request
                                  .response()
                                  .setStatusCode(isJoin ? 200 : boxResponse.statusCode());
                              if (boxResponse.getHeader("Content-Length") != null) {
                                request
                                    .response()
                                    .putHeader(
                                        "Content-Length", boxResponse.getHeader("Content-Length"));
                                boxResponse.pipeTo(request.response());
                              } else {
                                boxResponse.handler(chunk -> {});
                                boxResponse.endHandler(v -> request.response().end());
                              }
                            })
                        .onFailure(e -> request.response().setStatusCode(502).end());
                  }
                },
            new DeploymentOptions().setInstances(loops));
  }
}
