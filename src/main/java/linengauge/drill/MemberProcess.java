package linengauge.drill;

import java.io.BufferedWriter;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Collectors;
import linengauge.Span;
import linengauge.membership.Member;
import linengauge.membership.MemberUpdate;
import linengauge.membership.MembershipSettings;
import linengauge.membership.udp.MembershipNode;

/**
 * One front's members alone, as a process: its record is one line for each change as it comes and
 * one for its view, ten a second, each with the wall's clock in milliseconds. It ends as its input
 * does, and then says that it leaves.
 */
public final class MemberProcess {
  private static final long SAMPLE_INTERVAL_MS = 100;

  private MemberProcess() {}

  /**
   * Runs until the input ends; the period is that of the usual terms, all their spans in
   * proportion.
   */
  public static void run(Member self, List<String> seeds, Path keyFile, Path record, Span period)
      throws IOException, InterruptedException {
    MembershipSettings settings = MembershipSettings.USUAL.inPeriods(period);
    try (BufferedWriter out = Files.newBufferedWriter(record);
        MembershipNode node =
            new MembershipNode(
                settings,
                self,
                seeds,
                Files.readAllBytes(keyFile),
                update -> writeLine(out, "changed", toJson(update)))) {
      node.start();
      while (System.in.available() == 0) {
        Thread.sleep(SAMPLE_INTERVAL_MS);
        MembershipNode.Drops drops = node.drops();
        writeLine(
            out,
            "holds",
            "\"others\":["
                + node.held().stream().map(MemberProcess::toJson).collect(Collectors.joining(","))
                + "],\"strangers\":"
                + drops.strangers()
                + ",\"replayed\":"
                + drops.replayed()
                + ",\"unreadable\":"
                + drops.unreadable());
      }
    }
  }

  private static String toJson(MemberUpdate update) {
    return "{\"number\":"
        + update.member().number()
        + ",\"standing\":\""
        + update.standing()
        + "\",\"incarnation\":"
        + update.incarnation()
        + ",\"by\":"
        + update.by()
        + ",\"zone\":"
        + update.member().zone()
        + "}";
  }

  private static void writeLine(BufferedWriter out, String event, String fields) {
    String body = event.equals("changed") ? "\"other\":" + fields : fields;
    synchronized (out) {
      try {
        out.write(
            "{\"at\":"
                + System.currentTimeMillis()
                + ",\"what\":\""
                + event
                + "\","
                + body
                + "}\n");
        out.flush();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
