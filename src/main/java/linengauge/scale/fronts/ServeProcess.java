package linengauge.scale.fronts;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.concurrent.TimeUnit;
import linengauge.standin.PlatformViewers;

/**
 * One front as a separate process, started by the operators' run command.
 *
 * <p>The front runs under a shell that kills it at the end of the shell's standard input. That
 * input ends whenever this process ends, for any reason, so that no front is left running.
 */
final class ServeProcess implements AutoCloseable {
  private static final String GUARD_SCRIPT =
      "PROXY_CONFIG=\"$1\" sh -c \"$2\" </dev/null >>\"$3\" 2>&1 & echo $!; read -r end;"
          + " kill -KILL $!; wait $!";

  private static final int MAX_READY_CHECKS = 3000;
  private static final int READY_CHECK_INTERVAL_MS = 10;
  private static final int ANSWER_TIMEOUT_MS = 2000;
  private static final int TEST_PASSED = 53;

  private final Process guard;
  private final long pid;
  private final int port;

  /**
   * Starts the front.
   *
   * @param run the shell command that starts a front, ending in an exec
   * @param root the folder in which the front starts
   */
  ServeProcess(String run, Path root, Path configuration, Path log, int port) throws IOException {
    this.port = port;
    guard =
        new ProcessBuilder(
                "sh", "-c", GUARD_SCRIPT, "guard", configuration.toString(), run, log.toString())
            .directory(root.toFile())
            .redirectError(ProcessBuilder.Redirect.DISCARD)
            .start();
    var output =
        new BufferedReader(
            new InputStreamReader(guard.getInputStream(), StandardCharsets.US_ASCII));
    pid = Long.parseLong(output.readLine());
  }

  long pid() {
    return pid;
  }

  int port() {
    return port;
  }

  /** Waits until the front passes the test that the platform's own viewers request. */
  void awaitReady() throws IOException, InterruptedException {
    for (int i = 0; i < MAX_READY_CHECKS && isAlive(); i++) {
      if (passesTest()) {
        return;
      }
      Thread.sleep(READY_CHECK_INTERVAL_MS);
    }
    throw new IOException("the front did not become ready on port " + port);
  }

  private boolean passesTest() throws InterruptedException {
    try (var viewers = new PlatformViewers(port)) {
      viewers.sendProbe();
      PlatformViewers.FrontMessage said = viewers.next(ANSWER_TIMEOUT_MS);
      return said != null && said.type() == TEST_PASSED;
    } catch (IOException e) {
      return false; // the front is not listening yet
    }
  }

  boolean isAlive() {
    return ProcessHandle.of(pid).map(ProcessHandle::isAlive).orElse(false);
  }

  ProcessUsage usage() throws IOException {
    return ProcessUsage.of(pid);
  }

  /** Kills the front and waits until its guard has ended. */
  @Override
  public void close() throws IOException {
    guard.getOutputStream().close();
    try {
      if (!guard.waitFor(10, TimeUnit.SECONDS)) {
        guard.destroyForcibly();
      }
    } catch (InterruptedException e) {
      guard.destroyForcibly();
      Thread.currentThread().interrupt();
    }
  }
}
