package linengauge.front;

import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpClient;
import io.vertx.core.http.HttpClientRequest;
import io.vertx.core.http.RequestOptions;
import linengauge.Span;
import linengauge.carry.Wall;

/**
 * One long answer read line by line on the desk: it ends once, by itself, by silence, by a line too
 * long, or by close(). A stream that nobody holds any more calls nothing.
 */
final class LineStream {
  /** What a stream tells, on the desk. */
  interface Reader {
    void line(byte[] line);

    /**
     * The stream is over; `answered` says whether any line was heard on it, the status is 0 where
     * none came.
     */
    void over(boolean answered, int status, String why);
  }

  private final FrontServer program;
  private final Reader reader;
  private final Span silence;
  private HttpClientRequest request;
  private LineSplitter lines;
  private long heardAt = Wall.micros();
  private boolean answered;
  private boolean over;

  LineStream(
      FrontServer program,
      HttpClient client,
      RequestOptions options,
      int longest,
      Span silence,
      Reader reader) {
    this.program = program;
    this.reader = reader;
    this.silence = silence;
    this.lines =
        new LineSplitter(
            longest,
            line -> {
              if (!over) {
                answered = true;
                reader.line(line);
              }
            },
            () -> end(200, "a line longer than " + longest + " bytes"));
    program.wakeAfter(silence, this::listen);
    client
        .request(options)
        .onComplete(
            r ->
                program.onDesk(
                    () -> {
                      if (over) {
                        if (r.succeeded()) {
                          r.result().reset();
                        }
                      } else if (r.failed()) {
                        end(0, "not reached: " + r.cause().getMessage());
                      } else {
                        send(r.result());
                      }
                    }));
  }

  private void send(HttpClientRequest q) {
    request = q;
    q.exceptionHandler(e -> {}); // what fails is told by the futures
    BoxClient.sent(
        q,
        Buffer.buffer(),
        r -> {
          if (r.statusCode() != 200) {
            program.onDesk(() -> end(r.statusCode(), "status " + r.statusCode()));
            return;
          }
          r.exceptionHandler(e -> program.onDesk(() -> end(200, "broken: " + e.getMessage())));
          r.endHandler(v -> program.onDesk(() -> end(200, "ended by the other side")));
          r.handler(
              b ->
                  program.onDesk(
                      () -> {
                        heardAt = Wall.micros();
                        lines.hear(b);
                      }));
        },
        e -> program.onDesk(() -> end(0, "broken: " + e.getMessage())));
  }

  private void listen() {
    if (over) {
      return;
    }
    Span quiet = new Span(Wall.micros() - heardAt);
    if (quiet.under(silence)) {
      program.wakeAfter(silence.minus(quiet), this::listen);
    } else {
      end(0, "silent for " + silence.micros() / 1000 + " ms");
    }
  }

  private void end(int status, String why) {
    if (!over) {
      close();
      reader.over(answered, status, why);
    }
  }

  void close() {
    over = true;
    lines.close();
    if (request != null) {
      request.reset();
    }
  }
}
