package linengauge.drill;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.security.SecureRandom;
import java.util.Map;
import java.util.TreeMap;
import linengauge.consensus.PersistentState;
import linengauge.consensus.SaveFailedException;
import linengauge.consensus.StateMachine;
import linengauge.consensus.Voters;
import linengauge.consensus.tcp.ConsensusStore;

/** Opens the store of a voter for tests and drills, creating it if there is none. */
public final class VoterStores {
  private VoterStores() {}

  /**
   * Opens the store, creating it if needed.
   *
   * @param voters addresses of the founding voters, by number
   * @param founding whether a new store is that of a founding voter; otherwise it is that of a
   *     voter that has yet to be added
   */
  public static ConsensusStore open(
      Path folder,
      byte[] key,
      int number,
      Map<Integer, String> voters,
      boolean founding,
      StateMachine machine)
      throws IOException, SaveFailedException {
    ConsensusStore store = new ConsensusStore(folder);
    if (store.first() != null) {
      return store;
    }
    TreeMap<Integer, Voters.Chair> chairs = new TreeMap<>();
    voters.forEach(
        (voter, address) ->
            chairs.put(voter, new Voters.Chair(foundingNumber(key, voter), address, true)));
    store.save(
        founding
            ? PersistentState.founding(foundingNumber(key, number), new Voters(chairs), machine)
            : PersistentState.joining(new SecureRandom().nextLong() >>> 1, machine));
    store.close();
    return new ConsensusStore(folder);
  }

  /**
   * Derives the store number of a founding voter, so that all founding voters know it. Voters that
   * are added later have a random number.
   */
  private static long foundingNumber(byte[] key, int number) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(key);
      digest.update(("founding " + number).getBytes(StandardCharsets.UTF_8));
      return ByteBuffer.wrap(digest.digest()).getLong() >>> 1;
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException(e);
    }
  }
}
