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
  private static final long EACH_MS = 100;

  private MemberProcess() {}

  /**
   * Runs until the input ends; the period is that of the usual terms, all their spans in
   * proportion.
   */
  public static void run(Member own, List<String> seeds, Path keyFile, Path record, Span period)
      throws IOException, InterruptedException {
    MembershipSettings terms = MembershipSettings.DEFAULT.withPeriod(period);
    try (BufferedWriter out = Files.newBufferedWriter(record);
        MembershipNode node =
            new MembershipNode(
                terms,
                own,
                seeds,
                Files.readAllBytes(keyFile),
                n -> line(out, "changed", one(n)))) {
      node.start();
      while (System.in.available() == 0) {
        Thread.sleep(EACH_MS);
        MembershipNode.Drops d = node.drops();
        line(
            out,
            "holds",
            "\"others\":["
                + node.members().stream().map(MemberProcess::one).collect(Collectors.joining(","))
                + "],\"strangers\":"
                + d.strangers()
                + ",\"replayed\":"
                + d.replayed()
                + ",\"unreadable\":"
                + d.unreadable());
      }
    }
  }

  private static String one(MemberUpdate n) {
    return "{\"number\":"
        + n.member().number()
        + ",\"standing\":\""
        + n.state()
        + "\",\"incarnation\":"
        + n.incarnation()
        + ",\"by\":"
        + n.source()
        + ",\"zone\":"
        + n.member().zone()
        + "}";
  }

  private static void line(BufferedWriter out, String what, String rest) {
    String body = what.equals("changed") ? "\"other\":" + rest : rest;
    synchronized (out) {
      try {
        out.write(
            "{\"at\":" + System.currentTimeMillis() + ",\"what\":\"" + what + "\"," + body + "}\n");
        out.flush();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
