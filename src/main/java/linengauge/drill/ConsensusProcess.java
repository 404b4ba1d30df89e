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
 * Runs a single member of the consensus group as a process. It reads commands from standard input,
 * one a line: `want TEXT`, `sure NAME`, `without NUMBER`, `with NUMBER STORE ADDRESS`; it ends at
 * the end of input. Its record has a line for each decision applied, each change of role, and the
 * result of each command, with the wall clock time in milliseconds.
 */
public final class ConsensusProcess {
  /**
   * Start options; `routes` holds the addresses at which this process reaches voters, where these
   * differ from the voters' own.
   */
  public record Options(
      int number,
      String listen,
      Map<Integer, String> voters,
      Map<Integer, String> routes,
      Path store,
      boolean founding,
      Path keyFile,
      Path record,
      Span tick) {}

  private final BufferedWriter out;

  private ConsensusProcess(BufferedWriter out) {
    this.out = out;
  }

  /** State machine that keeps all decided texts in order. */
  private final class DecidedTexts implements StateMachine {
    private final List<String> texts = new ArrayList<>();
    private final boolean recordsChanges;

    private DecidedTexts(boolean recordsChanges) {
      this.recordsChanges = recordsChanges;
    }

    @Override
    public void apply(long index, long author, byte[] decision) {
      String text = new String(decision, StandardCharsets.UTF_8);
      texts.add(text);
      if (recordsChanges) {
        writeLine("applied", "\"index\":" + index + ",\"text\":\"" + text + "\"");
      }
    }

    @Override
    public byte[] whole() {
      MessageWriter writer = new MessageWriter().num(texts.size());
      texts.forEach(writer::text);
      return writer.done();
    }

    @Override
    public void restore(byte[] whole) {
      texts.clear();
      if (whole.length > 0) {
        MessageReader reader = new MessageReader(whole);
        for (int remaining = reader.num(0, 100_000); remaining > 0; remaining--) {
          texts.add(reader.text(1024));
        }
      }
      if (recordsChanges) {
        writeLine(
            "restored",
            "\"texts\":["
                + String.join(",", texts.stream().map(text -> '"' + text + '"').toList())
                + "]");
      }
    }
  }

  /** Runs until the end of input; returns 1 and prints one line if the store cannot be used. */
  public static int run(Options options) throws IOException {
    byte[] key = Files.readAllBytes(options.keyFile());
    try (BufferedWriter out = Files.newBufferedWriter(options.record())) {
      return new ConsensusProcess(out).run(options, key);
    }
  }

  private int run(Options options, byte[] key) throws IOException {
    ConsensusStore store = null;
    try {
      store = options.store() == null ? null : openStore(options, key);
    } catch (IOException | SaveFailedException e) {
      System.err.println("council: " + e.getMessage());
      return 1;
    }
    TreeMap<Integer, String> routes = new TreeMap<>(options.voters());
    routes.putAll(options.routes());
    RaftSettings raftSettings = RaftSettings.USUAL.inBeats(options.tick());
    double scale = options.tick().seconds() / RaftSettings.USUAL.beat().seconds();
    LogFollower.Terms followerSettings =
        new LogFollower.Terms(
            LogFollower.Terms.USUAL.ask().times(scale),
            LogFollower.Terms.USUAL.silent().times(scale),
            LogFollower.Terms.USUAL.wishes());
    if (store != null) {
      writeLine("store", "\"number\":" + store.first().store());
    }
    try (ConsensusNode node =
        new ConsensusNode(
            new ConsensusNode.Settings(
                options.number(), options.listen(), routes, key, raftSettings, followerSettings),
            store,
            new DecidedTexts(false),
            new DecidedTexts(true),
            (how, view) ->
                writeLine(
                    "stands",
                    "\"role\":\""
                        + view.role()
                        + "\",\"term\":"
                        + view.term()
                        + ",\"leader\":"
                        + view.leader()
                        + ",\"voters\":"
                        + view.voters().voting()))) {
      node.start();
      BufferedReader in =
          new BufferedReader(new InputStreamReader(System.in, StandardCharsets.UTF_8));
      for (String command = in.readLine(); command != null; command = in.readLine()) {
        execute(node, command.split(" "));
      }
    }
    return 0;
  }

  private void execute(ConsensusNode node, String[] parts) {
    switch (parts[0]) {
      case "want" ->
          node.wants(
              parts[1].getBytes(StandardCharsets.UTF_8),
              done -> writeLine(done ? "decided" : "undecided", "\"text\":\"" + parts[1] + "\""));
      case "sure" ->
          node.whenSure(
              () ->
                  writeLine(
                      "sure", "\"name\":\"" + parts[1] + "\",\"index\":" + node.view().index()));
      case "without" ->
          node.wantsVoters(
              node.view().voters().without(Integer.parseInt(parts[1])),
              done -> writeLine("placed", "\"done\":" + done));
      case "with" ->
          node.wantsVoters(
              node.view()
                  .voters()
                  .with(
                      Integer.parseInt(parts[1]),
                      new Voters.Chair(Long.parseLong(parts[2]), parts[3], false)),
              done -> writeLine("placed", "\"done\":" + done));
      default -> writeLine("unknown", "\"said\":\"" + parts[0] + "\"");
    }
  }

  private ConsensusStore openStore(Options options, byte[] key)
      throws IOException, SaveFailedException {
    return VoterStores.open(
        options.store(),
        key,
        options.number(),
        options.voters(),
        options.founding(),
        new DecidedTexts(false));
  }

  private void writeLine(String event, String fields) {
    synchronized (out) {
      try {
        out.write(
            "{\"at\":"
                + System.currentTimeMillis()
                + ",\"what\":\""
                + event
                + "\","
                + fields
                + "}\n");
        out.flush();
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }
  }
}
