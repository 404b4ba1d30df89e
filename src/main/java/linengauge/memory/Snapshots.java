package linengauge.memory;

import java.io.IOException;
import java.nio.BufferUnderflowException;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.zip.CRC32C;

/**
 * A table stored in generations, one file each. A new generation is written whole under a temporary
 * name and synced, then renamed, and the folder is synced. Only after that are the generations
 * older than the previous one deleted. So whenever a power loss interrupts this, one of the last
 * two generations is whole.
 *
 * <pre>
 * 8 bytes  "LNGMEM" and the format, 2 bytes
 * 8        generation
 * 4        length of the table
 * ...      the table
 * 4        CRC-32C (RFC 3720, appendix B.4) of all before it
 * </pre>
 *
 * If there is a file of a newer format, it is left unchanged and nothing is saved: otherwise the
 * newer program would later read this older program's file in its place. A table of an older format
 * is returned unchanged with its `format`, and its reader has to convert it.
 */
public final class Snapshots {
  private static final long MAGIC = 0x4c4e474d454dL << 16;
  private static final int HEADER_BYTES = 20;
  private static final int CHECKSUM_BYTES = 4;
  private static final String TEMPORARY_SUFFIX = ".new";

  /** Outcome of reading the folder. */
  public enum ReadOutcome {
    /** A whole file was found. */
    WHOLE,
    /** There is no file of any generation. */
    NOTHING,
    /** There are files, and none of them is whole. */
    ALL_BROKEN,
    /** The newest whole file is of a format that this program does not know. */
    NEWER
  }

  /**
   * The table and its format if a whole file was found, and the names of the broken files that were
   * skipped.
   */
  public record ReadResult(
      ReadOutcome found, long generation, int format, byte[] table, List<String> broken) {}

  private final Folder folder;
  private final String prefix;
  private final int format;
  private final int maxTableBytes;
  private long lastGeneration = -1;

  /**
   * The newest generation known to be whole. It is kept beside the next one, which may turn out to
   * be broken.
   */
  private long lastWholeGeneration = -1;

  private boolean newerFormatFound;

  /**
   * Creates the store; {@link #read} has to be called before {@link #save}.
   *
   * @param name the name of the table, which prefixes its file names
   * @param format the format that this program writes, 0 to 65535
   * @param maxTableBytes the maximum size of a table
   */
  public Snapshots(Folder folder, String name, int format, int maxTableBytes) {
    this.folder = folder;
    this.prefix = name + "-";
    this.format = format;
    this.maxTableBytes = maxTableBytes;
  }

  /** Reads the newest whole generation. Has to be called before anything is saved. */
  public ReadResult read() throws IOException {
    List<Long> generations = new ArrayList<>();
    for (String name : folder.names()) {
      long generation = generationOf(name);
      if (generation >= 0) {
        generations.add(generation);
      }
    }
    generations.sort(Collections.reverseOrder());
    List<String> broken = new ArrayList<>();
    for (long generation : generations) {
      // The number of a broken file is not reused either.
      lastGeneration = Math.max(lastGeneration, generation);
      byte[] bytes;
      try {
        bytes = folder.read(prefix + generation, maxTableBytes + HEADER_BYTES + CHECKSUM_BYTES);
      } catch (IOException e) {
        broken.add(prefix + generation);
        continue;
      }
      int fileFormat = formatOf(bytes, generation);
      if (fileFormat < 0) {
        broken.add(prefix + generation);
      } else if (fileFormat > format) {
        newerFormatFound = true;
        return new ReadResult(ReadOutcome.NEWER, generation, fileFormat, null, broken);
      } else {
        lastWholeGeneration = generation;
        deleteLeftovers(generations);
        byte[] table = new byte[bytes.length - HEADER_BYTES - CHECKSUM_BYTES];
        System.arraycopy(bytes, HEADER_BYTES, table, 0, table.length);
        return new ReadResult(ReadOutcome.WHOLE, generation, fileFormat, table, broken);
      }
    }
    return new ReadResult(
        generations.isEmpty() ? ReadOutcome.NOTHING : ReadOutcome.ALL_BROKEN,
        -1,
        format,
        null,
        broken);
  }

  /** The generation in a file's name, or -1 if the file does not belong to this table. */
  private long generationOf(String name) {
    String digits = name.startsWith(prefix) ? name.substring(prefix.length()) : "";
    return digits.matches("[0-9]{1,18}") ? Long.parseLong(digits) : -1;
  }

  /** The format of a file, or -1 if the file is not whole. */
  private static int formatOf(byte[] bytes, long generation) {
    try {
      ByteBuffer buffer = ByteBuffer.wrap(bytes);
      long magicAndFormat = buffer.getLong();
      boolean whole =
          (magicAndFormat & ~0xffffL) == MAGIC
              && buffer.getLong() == generation
              && buffer.getInt() == bytes.length - HEADER_BYTES - CHECKSUM_BYTES
              && ByteBuffer.wrap(bytes).getInt(bytes.length - CHECKSUM_BYTES)
                  == checksum(bytes, bytes.length - CHECKSUM_BYTES);
      return whole ? (int) (magicAndFormat & 0xffff) : -1;
    } catch (BufferUnderflowException | IndexOutOfBoundsException e) {
      return -1;
    }
  }

  private static int checksum(byte[] bytes, int length) {
    CRC32C crc = new CRC32C();
    crc.update(bytes, 0, length);
    return (int) crc.getValue();
  }

  /**
   * Saves a table as the next generation and returns its number. The generation is durable once
   * this returns; a failure leaves the earlier generations unchanged.
   *
   * @throws IOException if the table could not be made durable or a file of a newer format exists
   */
  public long save(byte[] table) throws IOException {
    if (newerFormatFound) {
      throw new IOException("a file of a newer format exists and is left unchanged");
    }
    if (table.length > maxTableBytes) {
      throw new IOException(
          "the table has " + table.length + " bytes; the limit is " + maxTableBytes);
    }
    long generation = lastGeneration + 1;
    ByteBuffer file = ByteBuffer.allocate(HEADER_BYTES + table.length + CHECKSUM_BYTES);
    file.putLong(MAGIC | format).putLong(generation).putInt(table.length).put(table);
    file.putInt(checksum(file.array(), file.position()));
    // The number is not reused, since the file may exist even if a later step fails.
    lastGeneration = generation;
    folder.write(prefix + generation + TEMPORARY_SUFFIX, file.array());
    folder.rename(prefix + generation + TEMPORARY_SUFFIX, prefix + generation);
    folder.sync();
    long previous = lastWholeGeneration;
    lastWholeGeneration = generation;
    deleteOldGenerations(generation, previous);
    return generation;
  }

  /**
   * Deletes the leftovers of earlier runs durably, before anything is saved. Otherwise each of a
   * series of runs that are killed before their own deletions are durable would leave one more
   * file.
   */
  private void deleteLeftovers(List<Long> newestFirst) {
    try {
      for (String name : folder.names()) {
        boolean incomplete = name.startsWith(prefix) && name.endsWith(TEMPORARY_SUFFIX);
        long generation = generationOf(name);
        if (incomplete
            || generation >= 0
                && generation < lastWholeGeneration
                && newestFirst.indexOf(generation) > newestFirst.indexOf(lastWholeGeneration) + 1) {
          folder.delete(name);
        }
      }
      folder.sync();
    } catch (IOException e) {
      return; // a folder that cannot be written is reported by the next save
    }
  }

  /**
   * Deletes incomplete files and all but the last two whole generations. The deletions need not be
   * durable.
   */
  private void deleteOldGenerations(long newest, long previous) {
    try {
      for (String name : folder.names()) {
        long generation = generationOf(name);
        boolean incomplete = name.startsWith(prefix) && name.endsWith(TEMPORARY_SUFFIX);
        if (incomplete || generation >= 0 && generation != newest && generation != previous) {
          folder.delete(name);
        }
      }
    } catch (IOException e) {
      return; // the files are deleted after the next save
    }
  }
}
