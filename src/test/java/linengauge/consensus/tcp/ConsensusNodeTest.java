package linengauge.consensus.tcp;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;
import linengauge.Span;
import linengauge.consensus.LogFollower;
import linengauge.consensus.PersistentState;
import linengauge.consensus.RaftSettings;
import linengauge.consensus.StateMachine;
import linengauge.consensus.Voters;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** One voter and many that follow it: as many as its settings say, and no more. */
@Timeout(value = 60, unit = TimeUnit.SECONDS)
class ConsensusNodeTest {
  private static final byte[] KEY = "a key of the whole fleet".getBytes();
  private static final Span FRESH = Span.ofSeconds(5);

  @TempDir private Path folder;

  /** Nothing is decided here. */
  private static final class Nothing implements StateMachine {
    @Override
    public void apply(long index, long author, byte[] decision) {
      // nothing to change
    }

    @Override
    public byte[] whole() {
      return new byte[0];
    }

    @Override
    public void restore(byte[] whole) {
      // nothing to restore
    }
  }

  private static int freePort() throws IOException {
    try (ServerSocket free = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
      return free.getLocalPort();
    }
  }

  private ConsensusNode.Settings settings(int number, String listen, String voter, int most) {
    return new ConsensusNode.Settings(
        number,
        listen,
        new TreeMap<>(java.util.Map.of(0, voter)),
        KEY,
        RaftSettings.USUAL,
        LogFollower.Terms.USUAL,
        most);
  }

  private ConsensusNode voter(String at, int mostFollowers) throws Exception {
    try (ConsensusStore store = new ConsensusStore(folder)) {
      TreeMap<Integer, Voters.Chair> chairs = new TreeMap<>();
      chairs.put(0, new Voters.Chair(7, at, true));
      store.save(PersistentState.founding(7, new Voters(chairs), new Nothing()));
    }
    return new ConsensusNode(
        settings(0, at, at, mostFollowers),
        new ConsensusStore(folder),
        new Nothing(),
        new Nothing(),
        (how, view) -> {});
  }

  private static long fresh(List<ConsensusNode> followers) {
    return followers.stream()
        .filter(f -> f.view() != null && f.view().age().isShorterThan(FRESH))
        .count();
  }

  private static void until(BooleanSupplier done) throws InterruptedException {
    for (int i = 0; i < 4000 && !done.getAsBoolean(); i++) {
      Thread.sleep(10);
    }
    assertTrue(done.getAsBoolean());
  }

  /**
   * Guards against fronts that find no voter to follow once others are gone: the bound was a
   * constant, and 1,800 fronts over three voters that remain are 600 each.
   */
  @Test
  void asManyFollowAsTheSettingsSayAndTheOthersAreTurnedAway() throws Exception {
    // given: the voter follows itself too, and so takes one connection of its own
    String at = "127.0.0.1:" + freePort();
    int most = 13;
    List<ConsensusNode> followers = new ArrayList<>();
    try (ConsensusNode voter = voter(at, most)) {
      voter.start();
      until(() -> voter.view() != null && voter.view().age().isShorterThan(FRESH));
      // when
      for (int number = 1; number <= most + 4; number++) {
        ConsensusNode follower =
            new ConsensusNode(
                settings(number, null, at, most), null, null, new Nothing(), (how, view) -> {});
        followers.add(follower);
        follower.start();
      }
      // then
      int room = most - 2; // both ends of the voter's own connection count
      until(() -> fresh(followers) == room);
      Thread.sleep(1500); // the others have called again meanwhile
      assertEquals(room, fresh(followers));
    } finally {
      followers.forEach(ConsensusNode::close);
    }
  }

  @Test
  void theUsualBoundIsThatOfSomeHundredsOfFronts() {
    assertEquals(
        512,
        new ConsensusNode.Settings(
                1, null, new TreeMap<>(), KEY, RaftSettings.USUAL, LogFollower.Terms.USUAL)
            .mostFollowers());
  }
}
