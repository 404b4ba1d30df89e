package linengauge.memory.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.List;
import java.util.stream.Stream;
import linengauge.memory.Folder;

/**
 * A folder of the file system, locked for one program at a time; the lock goes with the process,
 * however it ends.
 */
public final class DiskFolder implements Folder, AutoCloseable {
  private static final String LOCK = "lock";

  private final Path path;
  private final FileChannel lockFile;
  private final FileLock lock;

  /**
   * Makes the folder where it is missing, and locks it.
   *
   * @throws IOException that it cannot be made, or that another program has it
   */
  public DiskFolder(Path path) throws IOException {
    this.path = path;
    Files.createDirectories(path);
    lockFile =
        FileChannel.open(path.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
    FileLock got;
    try {
      got = lockFile.tryLock();
    } catch (OverlappingFileLockException e) {
      got = null; // this very process has it
    }
    if (got == null) {
      lockFile.close();
      throw new IOException(path + " is in use by another front");
    }
    lock = got;
  }

  @Override
  public List<String> names() throws IOException {
    try (Stream<Path> all = Files.list(path)) {
      return all.map(p -> p.getFileName().toString())
          .filter(n -> !n.equals(LOCK))
          .sorted()
          .toList();
    }
  }

  @Override
  public byte[] read(String name, int most) throws IOException {
    try (FileChannel file = FileChannel.open(path.resolve(name), StandardOpenOption.READ)) {
      if (file.size() > most) {
        throw new IOException(name + " has " + file.size() + " bytes, over " + most);
      }
      ByteBuffer bytes = ByteBuffer.allocate((int) file.size());
      while (bytes.hasRemaining() && file.read(bytes) >= 0) {
        continue;
      }
      return java.util.Arrays.copyOf(bytes.array(), bytes.position());
    }
  }

  @Override
  public void write(String name, byte[] bytes) throws IOException {
    try (FileChannel file =
        FileChannel.open(
            path.resolve(name),
            StandardOpenOption.CREATE,
            StandardOpenOption.WRITE,
            StandardOpenOption.TRUNCATE_EXISTING)) {
      ByteBuffer left = ByteBuffer.wrap(bytes);
      while (left.hasRemaining()) {
        file.write(left);
      }
      file.force(true);
    }
  }

  @Override
  public void rename(String from, String to) throws IOException {
    Files.move(path.resolve(from), path.resolve(to), StandardCopyOption.ATOMIC_MOVE);
  }

  @Override
  public void delete(String name) throws IOException {
    Files.deleteIfExists(path.resolve(name));
  }

  @Override
  public void sync() throws IOException {
    try (FileChannel folder = FileChannel.open(path, StandardOpenOption.READ)) {
      folder.force(true);
    }
  }

  @Override
  public void close() throws IOException {
    lock.release();
    lockFile.close();
  }
}
