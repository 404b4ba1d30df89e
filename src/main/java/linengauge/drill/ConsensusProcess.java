package linengauge.drill;

import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.UncheckedIOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import linengauge.Span;
import linengauge.consensus.LogFollower;
import linengauge.consensus.MessageReader;
import linengauge.consensus.MessageWriter;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.SaveFailedException;
import linengauge.consensus.StateMachine;
import linengauge.consensus.Voters;
import linengauge.consensus.tcp.ConsensusNode;
import linengauge.consensus.tcp.ConsensusStore;

/**
 * One front's part in a council alone, as a process. Its input says what is wanted, a line each:
 * `want TEXT`, `sure NAME`, `without NUMBER`, `with NUMBER STORE ADDRESS`; it ends as its input
 * does. Its record tells each decision as it is applied, each change of how it stands, and what
 * came of each wish, with the wall's clock in milliseconds.
 */
public final class ConsensusProcess {
  /**
   * What it is started with; ways: where this process reaches voters, in place of their addresses.
   */
  public record Start(
      int number,
      String listen,
      Map<Integer, String> voters,
      Map<Integer, String> ways,
      Path store,
      boolean founds,
      Path keyFile,
      Path record,
      Span beat) {}

  private final BufferedWriter out;

  private ConsensusProcess(BufferedWriter out) {
    this.out = out;
  }

  /** All texts that were decided, in order. */
  private final class Texts implements StateMachine {
    private final List<String> all = new ArrayList<>();
    private final boolean told;

    private Texts(boolean told) {
      this.told = told;
    }

    @Override
    public void apply(long index, long author, byte[] decision) {
      String text = new String(decision, StandardCharsets.UTF_8);
      all.add(text);
      if (told) {
        line("applied", "\"index\":" + index + ",\"text\":\"" + text + "\"");
      }
    }

    @Override
    public byte[] whole() {
      MessageWriter to = new MessageWriter().num(all.size());
      all.forEach(to::text);
      return to.done();
    }

    @Override
    public void restore(byte[] whole) {
      all.clear();
      if (whole.length > 0) {
        MessageReader from = new MessageReader(whole);
        for (int n = from.num(0, 100_000); n > 0; n--) {
          all.add(from.text(1024));
        }
      }
      if (told) {
        line(
            "restored",
            "\"texts\":[" + String.join(",", all.stream().map(t -> '"' + t + '"').toList()) + "]");
      }
    }
  }

  /** Runs until the input ends; 1 with one line where the store is not to be used. */
  public static int run(Start s) throws IOException {
    byte[] key = Files.readAllBytes(s.keyFile());
    try (BufferedWriter out = Files.newBufferedWriter(s.record())) {
      return new ConsensusProcess(out).run(s, key);
    }
  }

  private int run(Start s, byte[] key) throws IOException {
    ConsensusStore store = null;
    try {
      store = s.store() == null ? null : open(s, key);
    } catch (IOException | SaveFailedException e) {
      System.err.println("council: " + e.getMessage());
      return 1;
    }
    TreeMap<Integer, String> ways = new TreeMap<>(s.voters());
    ways.putAll(s.ways());
    RaftSettings terms = RaftSettings.USUAL.inBeats(s.beat());
    double by = s.beat().seconds() / RaftSettings.USUAL.beat().seconds();
    LogFollower.Terms follows =
        new LogFollower.Terms(
            LogFollower.Terms.USUAL.ask().times(by),
            LogFollower.Terms.USUAL.silent().times(by),
            LogFollower.Terms.USUAL.wishes());
    if (store != null) {
      line("store", "\"number\":" + store.first().store());
    }
    try (ConsensusNode node =
        new ConsensusNode(
            new ConsensusNode.Settings(s.number(), s.listen(), ways, key, terms, follows),
            store,
            new Texts(false),
            new Texts(true),
            (how, v) ->
                line(
                    "stands",
                    "\"role\":\""
                        + v.role()
                        + "\",\"term\":"
                        + v.term()
                        + ",\"leader\":"
                        + v.leader()
                        + ",\"voters\":"
                        + v.voters().voting()))) {
      node.start();
      BufferedReader in =
          new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
      for (String said = in.readLine(); said != null; said = in.readLine()) {
        told(node, said.split(" "));
      }
    }
    return 0;
  }

  private void told(ConsensusNode node, String[] w) {
    switch (w[0]) {
      case "want" ->
          node.wants(
              w[1].getBytes(StandardCharsets.UTF_8),
              done -> line(done ? "decided" : "undecided", "\"text\":\"" + w[1] + "\""));
      case "sure" ->
          node.whenSure(
              () -> line("sure", "\"name\":\"" + w[1] + "\",\"index\":" + node.view().index()));
      case "without" ->
          node.wantsVoters(
              node.view().voters().without(Integer.parseInt(w[1])),
              done -> line("placed", "\"done\":" + done));
      case "with" ->
          node.wantsVoters(
              node.view()
                  .voters()
                  .with(
                      Integer.parseInt(w[1]), new Voters.Chair(Long.parseLong(w[2]), w[3], false)),
              done -> line("placed", "\"done\":" + done));
      default -> line("unknown", "\"said\":\"" + w[0] + "\"");
    }
  }

  private ConsensusStore open(Start s, byte[] key) throws IOException, SaveFailedException {
    return VoterStores.open(s.store(), key, s.number(), s.voters(), s.founds(), new Texts(false));
  }

  private void line(String what, String rest) {
    synchronized (out) {
      try {
        out.write(
            "{\"at\":" + System.currentTimeMillis() + ",\"what\":\"" + what + "\"," + rest + "}\n");
        out.flush();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
