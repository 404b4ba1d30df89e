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
 * The baseline of `drill relay`: the same library, the same calls to one box, and nothing decided,
 * kept, bounded or rewritten. It is no front.
 */
public final class BareRelay {
  private static final String SET_UP =
      "{\"front\":0,\"tuneIn\":0,\"title\":\"t\",\"package\":\"plain\",\"rung\":1}";

  private BareRelay() {}

  /** Listens until the process ends. */
  public static Future<?> start(String host, int port, int box, int loops) {
    AtomicLong number = new AtomicLong();
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
                        .requestHandler(this::asked)
                        .listen(port, host);
                  }

                  private void asked(HttpServerRequest r) {
                    String path = r.path();
                    boolean join = path.startsWith("/titles/");
                    HttpMethod method = join ? HttpMethod.PUT : r.method();
                    String to =
                        join
                            ? "/viewings/" + number.incrementAndGet()
                            : "/viewings/"
                                + path.substring("/v/".length()).replaceFirst("/m/", "/");
                    client
                        .request(
                            new RequestOptions()
                                .setMethod(method)
                                .setHost(host)
                                .setPort(box)
                                .setURI(to))
                        .compose(q -> join ? q.send(Buffer.buffer(SET_UP)) : q.send())
                        .onSuccess(
                            a -> {
                              r.response().setStatusCode(join ? 200 : a.statusCode());
                              if (a.getHeader("Content-Length") != null) {
                                r.response()
                                    .putHeader("Content-Length", a.getHeader("Content-Length"));
                                a.pipeTo(r.response());
                              } else {
                                a.handler(b -> {});
                                a.endHandler(v -> r.response().end());
                              }
                            })
                        .onFailure(e -> r.response().setStatusCode(502).end());
                  }
                },
            new DeploymentOptions().setInstances(loops));
  }
}
