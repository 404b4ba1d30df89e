package linengauge.cli;

import linengauge.platform.Service;
import linengauge.platform.TryOut;
import linengauge.standin.PlatformTryOut;
import linengauge.wire.WireHost;

/**
 * The program's door. The bench's adapter starts without any of the libraries that the rest of the
 * program needs.
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

  /** Started often and with little memory: without the command line's library. */
  private static int serve() {
    System.setProperty("logback.configurationFile", "linengauge/log-text.xml");
    System.setProperty("vertx.disableDnsResolver", "true");
    return Service.run(System.getenv());
  }

  /**
   * Plays through a front of the platform on loopback; the build makes its archive of classes from
   * this.
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
