package linengauge.memory;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.TreeMap;
import linengauge.memory.disk.DiskFolder;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

/**
 * Generations of a table over a folder that loses power, runs full and lies, at every step and
 * every byte.
 */
class SnapshotsTest {
  private static final int MOST = 1000;

  /** Power was cut: nothing more happens. */
  private static final class Cut extends IOException {
    private static final long serialVersionUID = 1L;
  }

  /**
   * A folder as a file system may treat it: names change in the order given once synced, and in any
   * part of it, or not at all, where power is cut before; a file that is being written is there up
   * to any byte.
   */
  private static final class Frail implements Folder {
    private Map<String, byte[]> lasting = new TreeMap<>();
    private Map<String, byte[]> seen = new TreeMap<>();
    private final List<Runnable> pending = new ArrayList<>();
    private int stepsLeft = Integer.MAX_VALUE;
    private int tornAt;
    private String fails = "";

    private void step(String what) throws IOException {
      if (fails.equals(what)) {
        throw new IOException("the disk says no: " + what);
      }
      if (stepsLeft-- <= 0) {
        throw new Cut();
      }
    }

    /**
     * Power comes back: of the changes of names that were not synced, those of the mask have come
     * to last.
     */
    private void powerBack(int mask) {
      for (int i = 0; i < pending.size(); i++) {
        if ((mask >> i & 1) == 1) {
          pending.get(i).run();
        }
      }
      pending.clear();
      seen = new TreeMap<>(lasting);
      stepsLeft = Integer.MAX_VALUE;
      fails = "";
    }

    @Override
    public List<String> names() {
      return new ArrayList<>(seen.keySet());
    }

    @Override
    public byte[] read(String name, int most) throws IOException {
      byte[] b = seen.get(name);
      if (b == null || b.length > most) {
        throw new IOException("cannot read " + name);
      }
      return b.clone();
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
      byte[] torn = Arrays.copyOf(bytes, Math.min(tornAt, bytes.length));
      pending.add(() -> lasting.putIfAbsent(name, torn));
      step("write");
      seen.put(name, bytes.clone());
      pending.add(() -> lasting.put(name, bytes.clone()));
      step("force");
    }

    @Override
    public void rename(String from, String to) throws IOException {
      step("rename");
      byte[] b = seen.remove(from);
      seen.put(to, b);
      pending.add(
          () -> {
            lasting.remove(from);
            lasting.put(to, b);
          });
    }

    @Override
    public void delete(String name) throws IOException {
      step("delete");
      seen.remove(name);
      pending.add(() -> lasting.remove(name));
    }

    @Override
    public void sync() throws IOException {
      step("sync");
      pending.forEach(Runnable::run);
      pending.clear();
    }
  }

  private static byte[] table(int n) {
    return ("table " + n + " ".repeat(n % 7)).getBytes(StandardCharsets.UTF_8);
  }

  private static Snapshots over(Folder f) {
    return new Snapshots(f, "boxes", 3, MOST);
  }

  @Test
  void wherePowerIsCutWhatIsReadIsTheOldOrTheNewAndNeverLessThanWasPromised() throws IOException {
    int cuts = 0;
    for (int steps = 0; steps < 8; steps++) {
      for (int torn = 0; torn < 50; torn += steps == 0 ? 1 : 49) {
        for (int mask = 0; mask < 64; mask++) {
          Frail f = new Frail();
          Snapshots s = over(f);
          s.read();
          s.save(table(0));
          s.save(table(1));
          f.sync();
          f.tornAt = torn;
          f.stepsLeft = steps;
          int promised = 1;
          try {
            s.save(table(2));
            promised = 2;
          } catch (Cut e) {
            cuts++;
          }
          f.powerBack(mask);
          Snapshots.ReadResult r = over(f).read();
          assertEquals(Snapshots.ReadOutcome.WHOLE, r.found(), "steps " + steps + " mask " + mask);
          boolean old = Arrays.equals(table(1), r.table());
          assertTrue(
              Arrays.equals(table(2), r.table()) || promised == 1 && old,
              "steps "
                  + steps
                  + " torn "
                  + torn
                  + " mask "
                  + mask
                  + ": "
                  + new String(r.table(), StandardCharsets.UTF_8));
        }
      }
    }
    assertTrue(cuts > 1000, "cuts " + cuts);
  }

  @Test
  void fiveHundredCutsInARowNeverLoseMoreThanWhatWasNotPromised() throws IOException {
    SplittableRandom chance = new SplittableRandom(11);
    Frail f = new Frail();
    int promised = -1;
    int tried = -1;
    for (int round = 0; round < 500; round++) {
      Snapshots s = over(f);
      Snapshots.ReadResult r = s.read();
      if (promised >= 0) {
        int got =
            Integer.parseInt(new String(r.table(), StandardCharsets.UTF_8).strip().substring(6));
        assertTrue(
            got >= promised && got <= tried, "round " + round + ": " + got + " of " + promised);
        promised = got;
      }
      f.tornAt = chance.nextInt(60);
      f.stepsLeft = chance.nextInt(25);
      try {
        while (true) {
          tried++;
          s.save(table(tried));
          promised = tried;
        }
      } catch (Cut e) {
        f.powerBack(chance.nextInt(1 << 10));
      }
      assertTrue(f.names().size() <= 6, "files are left over: " + f.names());
    }
  }

  @Test
  void aDiskThatSaysNoCostsTheNewTableAndNotTheOld() throws IOException {
    for (String what : List.of("write", "force", "rename", "sync")) {
      Frail f = new Frail();
      Snapshots s = over(f);
      s.read();
      s.save(table(1));
      f.sync();
      f.fails = what;
      assertThrows(IOException.class, () -> s.save(table(2)), what);
      f.fails = "";
      assertEquals(Snapshots.ReadOutcome.WHOLE, over(f).read().found());
      s.save(table(3));
      assertArrayEquals(table(3), over(f).read().table());
    }
    Frail f = new Frail();
    Snapshots s = over(f);
    s.read();
    s.save(table(1));
    f.fails = "delete";
    s.save(table(2));
    s.save(table(3));
    assertArrayEquals(table(3), over(f).read().table(), "what cannot be swept is no matter");
  }

  @Test
  void anyByteChangedOrCutOffIsFoundAndTheGenerationBeforeIsRead() throws IOException {
    Frail f = new Frail();
    Snapshots s = over(f);
    s.read();
    s.save(table(1));
    s.save(table(2));
    String newest = f.names().get(1);
    byte[] whole = f.seen.get(newest);
    for (int at = 0; at < whole.length; at++) {
      for (int bit = 0; bit < 8; bit++) {
        byte[] bad = whole.clone();
        bad[at] ^= (byte) (1 << bit);
        f.seen.put(newest, bad);
        Snapshots.ReadResult r = over(f).read();
        assertArrayEquals(table(1), r.table(), "byte " + at);
        assertEquals(List.of(newest), r.broken());
      }
      f.seen.put(newest, Arrays.copyOf(whole, at));
      assertArrayEquals(table(1), over(f).read().table(), "cut at " + at);
    }
    Snapshots after = over(f);
    after.read();
    after.save(table(9));
    assertArrayEquals(table(9), over(f).read().table(), "a broken one's number is not used again");
  }

  @Test
  void aNewerProgramsFileIsLeftAndAnOlderOnesIsReadWithItsFormat() throws IOException {
    Frail f = new Frail();
    Snapshots old = new Snapshots(f, "boxes", 2, MOST);
    old.read();
    old.save(table(1));
    assertEquals(2, over(f).read().format());
    Snapshots newer = new Snapshots(f, "boxes", 9, MOST);
    newer.read();
    newer.save(table(2));
    Map<String, byte[]> before = new HashMap<>(f.seen);
    Snapshots s = over(f);
    assertEquals(Snapshots.ReadOutcome.NEWER, s.read().found());
    assertThrows(IOException.class, () -> s.save(table(3)));
    assertEquals(before.keySet(), f.seen.keySet());
  }

  @Test
  void tablesOfOtherNamesAndStrangersFilesAreLetAlone() throws IOException {
    Frail f = new Frail();
    f.seen.put("boxes-x", new byte[3]);
    f.seen.put("orders-1", new byte[3]);
    Snapshots s = over(f);
    assertEquals(Snapshots.ReadOutcome.NOTHING, s.read().found());
    for (int i = 0; i < 5; i++) {
      s.save(table(i));
    }
    assertEquals(List.of("boxes-3", "boxes-4", "boxes-x", "orders-1"), f.names());
    assertThrows(IOException.class, () -> s.save(new byte[MOST + 1]));
    assertArrayEquals(table(4), over(f).read().table());
  }

  @Test
  void onADiskItLastsAndASecondProgramIsRefused(@TempDir Path folder) throws IOException {
    Path at = folder.resolve("state");
    try (DiskFolder f = new DiskFolder(at)) {
      Snapshots s = over(f);
      assertEquals(Snapshots.ReadOutcome.NOTHING, s.read().found());
      s.save(table(1));
      s.save(table(2));
      s.save(table(3));
      assertTrue(
          assertThrows(IOException.class, () -> new DiskFolder(at))
              .getMessage()
              .contains("is in use"));
    }
    try (DiskFolder f = new DiskFolder(at)) {
      Snapshots.ReadResult r = over(f).read();
      assertArrayEquals(table(3), r.table());
      assertEquals(List.of("boxes-1", "boxes-2"), f.names());
      Files.write(at.resolve("boxes-2"), new byte[2 * MOST]);
      assertArrayEquals(table(2), over(f).read().table(), "a file too long is not read");
    }
  }
}
