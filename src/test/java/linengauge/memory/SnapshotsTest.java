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
 * Snapshots on a folder that loses power, fails its operations as a full disk does, and returns
 * corrupt bytes, at every step and every byte.
 */
class SnapshotsTest {
  private static final int MAX_TABLE_BYTES = 1000;

  /** Power is lost: no further operation takes effect. */
  private static final class PowerLossException extends IOException {
    private static final long serialVersionUID = 1L;
  }

  /**
   * A folder with the latitude that a file system has. Once synced, all changes of names are
   * durable; if power is lost before, any subset of them may be. A file that is being written may
   * be there up to any byte.
   */
  private static final class FaultyFolder implements Folder {
    private Map<String, byte[]> durable = new TreeMap<>();
    private Map<String, byte[]> visible = new TreeMap<>();
    private final List<Runnable> pending = new ArrayList<>();
    private int stepsLeft = Integer.MAX_VALUE;
    private int tornAtByte;
    private String failingOperation = "";

    private void step(String operation) throws IOException {
      if (failingOperation.equals(operation)) {
        throw new IOException("injected disk failure: " + operation);
      }
      if (stepsLeft-- <= 0) {
        throw new PowerLossException();
      }
    }

    /** Restores power. Of the changes that were not synced, those in the bit mask are durable. */
    private void restorePower(int mask) {
      for (int i = 0; i < pending.size(); i++) {
        if ((mask >> i & 1) == 1) {
          pending.get(i).run();
        }
      }
      pending.clear();
      visible = new TreeMap<>(durable);
      stepsLeft = Integer.MAX_VALUE;
      failingOperation = "";
    }

    @Override
    public List<String> names() {
      return new ArrayList<>(visible.keySet());
    }

    @Override
    public byte[] read(String name, int maxBytes) throws IOException {
      byte[] bytes = visible.get(name);
      if (bytes == null || bytes.length > maxBytes) {
        throw new IOException("cannot read " + name);
      }
      return bytes.clone();
    }

    @Override
    public void write(String name, byte[] bytes) throws IOException {
      byte[] torn = Arrays.copyOf(bytes, Math.min(tornAtByte, bytes.length));
      pending.add(() -> durable.putIfAbsent(name, torn));
      step("write");
      visible.put(name, bytes.clone());
      pending.add(() -> durable.put(name, bytes.clone()));
      step("force");
    }

    @Override
    public void rename(String from, String to) throws IOException {
      step("rename");
      byte[] bytes = visible.remove(from);
      visible.put(to, bytes);
      pending.add(
          () -> {
            durable.remove(from);
            durable.put(to, bytes);
          });
    }

    @Override
    public void delete(String name) throws IOException {
      step("delete");
      visible.remove(name);
      pending.add(() -> durable.remove(name));
    }

    @Override
    public void sync() throws IOException {
      step("sync");
      pending.forEach(Runnable::run);
      pending.clear();
    }
  }

  private static byte[] table(int number) {
    return ("table " + number + " ".repeat(number % 7)).getBytes(StandardCharsets.UTF_8);
  }

  private static Snapshots snapshotsIn(Folder folder) {
    return new Snapshots(folder, "boxes", 3, MAX_TABLE_BYTES);
  }

  @Test
  void powerLossLeavesTheOldOrTheNewTable() throws IOException {
    int cuts = 0;
    for (int steps = 0; steps < 8; steps++) {
      for (int torn = 0; torn < 50; torn += steps == 0 ? 1 : 49) {
        for (int mask = 0; mask < 64; mask++) {
          FaultyFolder folder = new FaultyFolder();
          Snapshots snapshots = snapshotsIn(folder);
          snapshots.read();
          snapshots.save(table(0));
          snapshots.save(table(1));
          folder.sync();
          folder.tornAtByte = torn;
          folder.stepsLeft = steps;
          int committed = 1;
          try {
            snapshots.save(table(2));
            committed = 2;
          } catch (PowerLossException e) {
            cuts++;
          }
          folder.restorePower(mask);
          Snapshots.ReadResult result = snapshotsIn(folder).read();
          assertEquals(
              Snapshots.ReadOutcome.WHOLE, result.found(), "steps " + steps + " mask " + mask);
          boolean old = Arrays.equals(table(1), result.table());
          assertTrue(
              Arrays.equals(table(2), result.table()) || committed == 1 && old,
              "steps "
                  + steps
                  + " torn "
                  + torn
                  + " mask "
                  + mask
                  + ": "
                  + new String(result.table(), StandardCharsets.UTF_8));
        }
      }
    }
    assertTrue(cuts > 1000, "cuts " + cuts);
  }

  @Test
  void repeatedPowerLossNeverLosesACommittedTable() throws IOException {
    SplittableRandom random = new SplittableRandom(11);
    FaultyFolder folder = new FaultyFolder();
    int committed = -1;
    int attempted = -1;
    for (int round = 0; round < 500; round++) {
      Snapshots snapshots = snapshotsIn(folder);
      Snapshots.ReadResult result = snapshots.read();
      if (committed >= 0) {
        int recovered =
            Integer.parseInt(
                new String(result.table(), StandardCharsets.UTF_8).strip().substring(6));
        assertTrue(
            recovered >= committed && recovered <= attempted,
            "round " + round + ": " + recovered + " of " + committed);
        committed = recovered;
      }
      folder.tornAtByte = random.nextInt(60);
      folder.stepsLeft = random.nextInt(25);
      try {
        while (true) {
          attempted++;
          snapshots.save(table(attempted));
          committed = attempted;
        }
      } catch (PowerLossException e) {
        folder.restorePower(random.nextInt(1 << 10));
      }
      assertTrue(folder.names().size() <= 6, "leftover files: " + folder.names());
    }
  }

  @Test
  void ioErrorLosesOnlyTheNewTable() throws IOException {
    for (String what : List.of("write", "force", "rename", "sync")) {
      FaultyFolder folder = new FaultyFolder();
      Snapshots snapshots = snapshotsIn(folder);
      snapshots.read();
      snapshots.save(table(1));
      folder.sync();
      folder.failingOperation = what;
      assertThrows(IOException.class, () -> snapshots.save(table(2)), what);
      folder.failingOperation = "";
      assertEquals(Snapshots.ReadOutcome.WHOLE, snapshotsIn(folder).read().found());
      snapshots.save(table(3));
      assertArrayEquals(table(3), snapshotsIn(folder).read().table());
    }
    FaultyFolder folder = new FaultyFolder();
    Snapshots snapshots = snapshotsIn(folder);
    snapshots.read();
    snapshots.save(table(1));
    folder.failingOperation = "delete";
    snapshots.save(table(2));
    snapshots.save(table(3));
    assertArrayEquals(
        table(3), snapshotsIn(folder).read().table(), "a failed deletion does not prevent saving");
  }

  @Test
  void corruptFileFallsBackToThePreviousGeneration() throws IOException {
    FaultyFolder folder = new FaultyFolder();
    Snapshots snapshots = snapshotsIn(folder);
    snapshots.read();
    snapshots.save(table(1));
    snapshots.save(table(2));
    String newest = folder.names().get(1);
    byte[] whole = folder.visible.get(newest);
    for (int at = 0; at < whole.length; at++) {
      for (int bit = 0; bit < 8; bit++) {
        byte[] bad = whole.clone();
        bad[at] ^= (byte) (1 << bit);
        folder.visible.put(newest, bad);
        Snapshots.ReadResult result = snapshotsIn(folder).read();
        assertArrayEquals(table(1), result.table(), "byte " + at);
        assertEquals(List.of(newest), result.broken());
      }
      folder.visible.put(newest, Arrays.copyOf(whole, at));
      assertArrayEquals(table(1), snapshotsIn(folder).read().table(), "cut at " + at);
    }
    Snapshots after = snapshotsIn(folder);
    after.read();
    after.save(table(9));
    assertArrayEquals(
        table(9),
        snapshotsIn(folder).read().table(),
        "the number of a broken generation is not reused");
  }

  @Test
  void keepsNewerFormatsAndReadsOlderOnes() throws IOException {
    FaultyFolder folder = new FaultyFolder();
    Snapshots old = new Snapshots(folder, "boxes", 2, MAX_TABLE_BYTES);
    old.read();
    old.save(table(1));
    assertEquals(2, snapshotsIn(folder).read().format());
    Snapshots newer = new Snapshots(folder, "boxes", 9, MAX_TABLE_BYTES);
    newer.read();
    newer.save(table(2));
    Map<String, byte[]> before = new HashMap<>(folder.visible);
    Snapshots snapshots = snapshotsIn(folder);
    assertEquals(Snapshots.ReadOutcome.NEWER, snapshots.read().found());
    assertThrows(IOException.class, () -> snapshots.save(table(3)));
    assertEquals(before.keySet(), folder.visible.keySet());
  }

  @Test
  void leavesUnrelatedFilesAlone() throws IOException {
    FaultyFolder folder = new FaultyFolder();
    folder.visible.put("boxes-x", new byte[3]);
    folder.visible.put("orders-1", new byte[3]);
    Snapshots snapshots = snapshotsIn(folder);
    assertEquals(Snapshots.ReadOutcome.NOTHING, snapshots.read().found());
    for (int i = 0; i < 5; i++) {
      snapshots.save(table(i));
    }
    assertEquals(List.of("boxes-3", "boxes-4", "boxes-x", "orders-1"), folder.names());
    assertThrows(IOException.class, () -> snapshots.save(new byte[MAX_TABLE_BYTES + 1]));
    assertArrayEquals(table(4), snapshotsIn(folder).read().table());
  }

  @Test
  void persistsOnDiskAndRejectsASecondProcess(@TempDir Path temporaryFolder) throws IOException {
    Path at = temporaryFolder.resolve("state");
    try (DiskFolder folder = new DiskFolder(at)) {
      Snapshots snapshots = snapshotsIn(folder);
      assertEquals(Snapshots.ReadOutcome.NOTHING, snapshots.read().found());
      snapshots.save(table(1));
      snapshots.save(table(2));
      snapshots.save(table(3));
      assertTrue(
          assertThrows(IOException.class, () -> new DiskFolder(at))
              .getMessage()
              .contains("is in use"));
    }
    try (DiskFolder folder = new DiskFolder(at)) {
      Snapshots.ReadResult result = snapshotsIn(folder).read();
      assertArrayEquals(table(3), result.table());
      assertEquals(List.of("boxes-1", "boxes-2"), folder.names());
      Files.write(at.resolve("boxes-2"), new byte[2 * MAX_TABLE_BYTES]);
      assertArrayEquals(
          table(2), snapshotsIn(folder).read().table(), "a file over the limit is skipped");
    }
  }
}
