package linengauge.cli;

import linengauge.platform.Service;
import linengauge.platform.TryOut;
import linengauge.standin.PlatformTryOut;
import linengauge.wire.WireHost;

/**
 * The program's entry point. The bench's adapter starts without any of the libraries that the rest
 * of the program needs.
 */
public final class Main {
  private Main() {}

  public static void main(String[] args) {
    String command = args.length == 1 ? args[0] : "";
    System.exit(
        switch (command) {
          case "wirehost" -> WireHost.onStandardStreams();
          case "serve" -> serve();
          case "serve-tryout" -> tryOut();
          default -> Commands.run(args);
        });
  }

  /**
   * Runs the platform front without the command line library, since it is started often and with
   * little memory.
   */
  private static int serve() {
    System.setProperty("logback.configurationFile", "linengauge/log-text.xml");
    System.setProperty("vertx.disableDnsResolver", "true");
    return Service.run(System.getenv());
  }

  /**
   * Plays a try-out through a platform front on loopback; the build creates its class archive from
   * this run.
   */
  private static int tryOut() {
    System.setProperty("logback.configurationFile", "linengauge/log-text.xml");
    System.setProperty("vertx.disableDnsResolver", "true");
    try (var stack = new PlatformTryOut()) {
      return TryOut.run(stack.port(), stack.journal(), stack.boxes(), stack::play);
    } catch (Exception e) {
      System.err.println("linengauge: the try-out failed: " + e.getMessage());
      return 1;
    }
  }
}
