package linengauge.drill;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.net.HttpURLConnection;
import java.net.URI;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import linengauge.standin.Tap;

/**
 * A front that runs as a separate process and can be started, suspended, killed and queried for its
 * state.
 */
final class FrontProcess {
  private static final ObjectMapper JSON = new ObjectMapper();

  private final int number;
  private final Path siteFile;
  private final Path logFile;
  private final String controlAddress;
  private final Tap tap;
  private String[] jvmOptions = {
    "-Xmx256m", "-XX:MaxDirectMemorySize=512m", "-Xms48m", "-XX:+UseSerialGC"
  };
  private Process process;

  FrontProcess(int number, Path siteFile, Path logFile, String controlAddress, Tap tap) {
    this.number = number;
    this.siteFile = siteFile;
    this.logFile = logFile;
    this.controlAddress = controlAddress;
    this.tap = tap;
  }

  int number() {
    return number;
  }

  void start(long seed) throws IOException {
    start(seed, jvmOptions);
  }

  /** Starts the front with the given JVM options, which later restarts use as well. */
  synchronized void start(long seed, String... newOptions) throws IOException {
    jvmOptions = newOptions;
    String classPath =
        System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
    List<String> command = new ArrayList<>();
    command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
    command.addAll(List.of(jvmOptions));
    command.addAll(
        List.of(
            "-cp",
            classPath,
            "linengauge.cli.Main",
            "front",
            "--site",
            siteFile.toString(),
            "--seed",
            Long.toString(seed)));
    process =
        new ProcessBuilder(command)
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.appendTo(logFile.toFile()))
            .start();
    tap.recordEvent("front-started", "front", number);
  }

  /** Suspends the process with SIGSTOP and resumes it with SIGCONT. */
  void pauseFor(long millis) throws IOException, InterruptedException {
    tap.recordEvent("front-stopped", "front", number);
    signal("STOP");
    Thread.sleep(millis);
    signal("CONT");
    tap.recordEvent("front-continued", "front", number);
  }

  private void signal(String name) throws IOException, InterruptedException {
    new ProcessBuilder("kill", "-" + name, Long.toString(process.pid()))
        .inheritIO()
        .start()
        .waitFor();
  }

  void kill() throws InterruptedException {
    tap.recordEvent("front-killed", "front", number);
    process.destroyForcibly().waitFor();
  }

  /**
   * Asks the process to end and kills it if it does not; returns whether it ended within the time
   * limit.
   */
  boolean terminate(long millis) throws InterruptedException {
    if (process == null) {
      return true;
    }
    process.destroy();
    if (process.waitFor(millis, TimeUnit.MILLISECONDS)) {
      return true;
    }
    process.destroyForcibly().waitFor();
    return false;
  }

  /** Runs a garbage collection and returns the heap in use afterwards, in bytes. */
  long heapAfterGc() throws IOException, InterruptedException {
    Process jcmd =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "jcmd").toString(),
                Long.toString(process.pid()),
                "GC.run")
            .redirectErrorStream(true)
            .redirectOutput(ProcessBuilder.Redirect.DISCARD)
            .start();
    if (!jcmd.waitFor(10, TimeUnit.SECONDS)) {
      jcmd.destroyForcibly();
    }
    return state().path("heapUsed").asLong();
  }

  Process process() {
    return process;
  }

  void destroy() {
    if (process != null) {
      process.destroyForcibly();
    }
  }

  boolean isAlive() {
    return process != null && process.isAlive();
  }

  boolean isReady() {
    try {
      return get("/ready") != null;
    } catch (IOException e) {
      return false;
    }
  }

  JsonNode state() throws IOException {
    byte[] response = get("/state");
    if (response == null) {
      throw new IOException("front " + number + " returned no state");
    }
    return JSON.readTree(response);
  }

  private byte[] get(String path) throws IOException {
    HttpURLConnection connection =
        (HttpURLConnection) URI.create("http://" + controlAddress + path).toURL().openConnection();
    connection.setConnectTimeout(500);
    connection.setReadTimeout(1000);
    try {
      return connection.getResponseCode() == 200
          ? connection.getInputStream().readAllBytes()
          : null;
    } finally {
      connection.disconnect();
    }
  }

  String lastLog() {
    try {
      List<String> lines = Files.readAllLines(logFile);
      return String.join("\n", lines.subList(Math.max(0, lines.size() - 5), lines.size()));
    } catch (IOException e) {
      return "";
    }
  }
}
