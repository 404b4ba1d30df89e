package linengauge.memory;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A table kept in generations, each a file of its own: written whole under another name, synced,
 * renamed, and the folder synced, before the one before the last is deleted. Whatever is cut off at
 * whatever moment, one of the last two is whole.
 *
 * <pre>
 * 8 bytes  "LNGMEM" and the format, 2 bytes
 * 8        generation
 * 4        length of what follows
 * ...      the table
 * 4        CRC-32C (RFC 3720, appendix B.4) of all before it
 * </pre>
 *
 * A file of a newer format is left as it is, and nothing is written beside it: the older program
 * would be read later in its place. One of an older format is brought up by whoever reads the
 * table; `format` says which it is.
 */
public final class Snapshots {
  private static final long MAGIC = 0x4c4e474d454dL << 16;
  private static final int HEAD_BYTES = 20;
  private static final int SUM_BYTES = 4;
  private static final String TEMPORARY = ".new";

  /** What reading found. */
  public enum ReadOutcome {
    WHOLE,
    NOTHING,
    ALL_BROKEN,
    NEWER
  }

  /**
   * What was read: the table and its format where one is whole, and the names of files passed over
   * as they were not.
   */
  public record ReadResult(
      ReadOutcome found, long generation, int format, byte[] table, List<String> broken) {}

  private final Folder folder;
  private final String prefix;
  private final int format;
  private final int most;
  private long last = -1;

  /**
   * The generation before the last that is whole: kept, as the last may yet turn out to be broken.
   */
  private long kept = -1;

  private boolean newer;

  /**
   * @param name of the table, a beginning of its files' names
   * @param format that this program writes, 0 to 65535
   * @param most bytes that a table may have
   */
  public Snapshots(Folder folder, String name, int format, int most) {
    this.folder = folder;
    this.prefix = name + "-";
    this.format = format;
    this.most = most;
  }

  /** The newest generation that is whole; to be called first, before anything is saved. */
  public ReadResult read() throws IOException {
    List<Long> generations = new ArrayList<>();
    for (String name : folder.names()) {
      long g = generation(name);
      if (g >= 0) {
        generations.add(g);
      }
    }
    generations.sort(Collections.reverseOrder());
    List<String> broken = new ArrayList<>();
    for (long g : generations) {
      last = Math.max(last, g); // also of a broken one: its name is not used again
      byte[] bytes;
      try {
        bytes = folder.read(prefix + g, most + HEAD_BYTES + SUM_BYTES);
      } catch (IOException e) {
        broken.add(prefix + g);
        continue;
      }
      int f = formatOf(bytes, g);
      if (f < 0) {
        broken.add(prefix + g);
      } else if (f > format) {
        newer = true;
        return new ReadResult(ReadOutcome.NEWER, g, f, null, broken);
      } else {
        kept = g;
        tidy(generations);
        byte[] table = new byte[bytes.length - HEAD_BYTES - SUM_BYTES];
        System.arraycopy(bytes, HEAD_BYTES, table, 0, table.length);
        return new ReadResult(ReadOutcome.WHOLE, g, f, table, broken);
      }
    }
    return new ReadResult(
        generations.isEmpty() ? ReadOutcome.NOTHING : ReadOutcome.ALL_BROKEN,
        -1,
        format,
        null,
        broken);
  }

  /** The generation that a file's name tells; -1 where it is none of this table's. */
  private long generation(String name) {
    String rest = name.startsWith(prefix) ? name.substring(prefix.length()) : "";
    return rest.matches("[0-9]{1,18}") ? Long.parseLong(rest) : -1;
  }

  /** The format of a whole file; -1 where it is not whole. */
  private static int formatOf(byte[] bytes, long generation) {
    try {
      ByteBuffer b = ByteBuffer.wrap(bytes);
      long head = b.getLong();
      boolean fits =
          (head & ~0xffffL) == MAGIC
              && b.getLong() == generation
              && b.getInt() == bytes.length - HEAD_BYTES - SUM_BYTES
              && ByteBuffer.wrap(bytes).getInt(bytes.length - SUM_BYTES)
                  == sum(bytes, bytes.length - SUM_BYTES);
      return fits ? (int) (head & 0xffff) : -1;
    } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
      return -1;
    }
  }

  private static int sum(byte[] bytes, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, 0, length);
    return (int) crc.getValue();
  }

  /**
   * Saves a table as the next generation, which is certain to last once this has come back; its
   * number. What fails leaves the generations before it as they were.
   *
   * @throws IOException where it could not be made to last, or a newer program's file is there
   */
  public long save(byte[] table) throws IOException {
    if (newer) {
      throw new IOException("a file of a newer format is there, and is left as it is");
    }
    if (table.length > most) {
      throw new IOException("a table of " + table.length + " bytes, over " + most);
    }
    long g = last + 1;
    ByteBuffer b = ByteBuffer.allocate(HEAD_BYTES + table.length + SUM_BYTES);
    b.putLong(MAGIC | format).putLong(g).putInt(table.length).put(table);
    b.putInt(sum(b.array(), b.position()));
    last = g; // a name that may have come to be is not used again
    folder.write(prefix + g + TEMPORARY, b.array());
    folder.rename(prefix + g + TEMPORARY, prefix + g);
    folder.sync();
    long before = kept;
    kept = g;
    sweep(g, before);
    return g;
  }

  /**
   * Before anything is saved: what earlier lives left is deleted for good. Guards against lives
   * that are all cut off before their own sweep lasts: each would leave a file more.
   */
  private void tidy(List<Long> newestFirst) {
    try {
      for (String name : folder.names()) {
        boolean cutOff = name.startsWith(prefix) && name.endsWith(TEMPORARY);
        long g = generation(name);
        if (cutOff
            || g >= 0 && g < kept && newestFirst.indexOf(g) > newestFirst.indexOf(kept) + 1) {
          folder.delete(name);
        }
      }
      folder.sync();
    } catch (IOException e) {
      return; // a folder that cannot be written is told of when something is saved
    }
  }

  /**
   * Deletes all but the last two that are whole, and what was cut off while it was written. None of
   * it needs to last.
   */
  private void sweep(long newest, long before) {
    try {
      for (String name : folder.names()) {
        long g = generation(name);
        boolean cutOff = name.startsWith(prefix) && name.endsWith(TEMPORARY);
        if (cutOff || g >= 0 && g != newest && g != before) {
          folder.delete(name);
        }
      }
    } catch (IOException e) {
      return; // they are swept with the next one
    }
  }
}
